// Patches that several mutants and tests share; each returns a function that removes it.
import { ClaimTable, type Job, JobTable } from '@gingerlock/core';
import { patch } from './mutant';

/** Calls `alter` with each job that is read from the state service. */
export function readJobsAs(alter: (job: Job) => void): () => void {
  return patch(
    JobTable.prototype,
    'applyJob',
    (original) =>
      function (this: JobTable, id, value, version) {
        const record = original.call(this, id, value, version);
        const job = this.live.get(id);
        if (job !== undefined) alter(job);
        return record;
      },
  );
}

/** Drops all stop commands, in answers to heartbeats and sent directly. */
export function dropStops(): () => void {
  const restoreAnswers = patch(
    ClaimTable.prototype,
    'handleHeartbeat',
    (original) =>
      function (this: ClaimTable, heartbeat, now, mayGrant) {
        const outcome = original.call(this, heartbeat, now, mayGrant);
        if (outcome.kind !== 'answer') return outcome;
        return { ...outcome, commands: outcome.commands.filter((c) => c.op !== 'stop') };
      },
  );
  const restoreDirect = patch(
    ClaimTable.prototype,
    'syncJob',
    (original) =>
      function (this: ClaimTable, id, now) {
        original.call(this, id, now);
        return [];
      },
  );
  return () => {
    restoreAnswers();
    restoreDirect();
  };
}

/** Calls `alter` with the claim table before each `tick`. */
export function beforeTick(alter: (claimTable: ClaimTable, now: number) => void): () => void {
  return patch(
    ClaimTable.prototype,
    'tick',
    (original) =>
      function (this: ClaimTable, now) {
        alter(this, now);
        return original.call(this, now);
      },
  );
}
