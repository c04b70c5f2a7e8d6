// Ways to break the code that several mutants and tests share.
import { ClaimTable, type Job, JobTable } from '@gingerlock/core';
import { patch } from './mutant';

/** Alters every job as it is read from the state service. */
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

/** Workers get no stops, neither in answers nor directly. */
export function dropStops(): () => void {
  const answers = patch(
    ClaimTable.prototype,
    'handleHeartbeat',
    (original) =>
      function (this: ClaimTable, heartbeat, now, mayGrant) {
        const outcome = original.call(this, heartbeat, now, mayGrant);
        if (outcome.kind !== 'answer') return outcome;
        return { ...outcome, commands: outcome.commands.filter((c) => c.op !== 'stop') };
      },
  );
  const direct = patch(
    ClaimTable.prototype,
    'syncJob',
    (original) =>
      function (this: ClaimTable, id, now) {
        original.call(this, id, now);
        return [];
      },
  );
  return () => {
    answers();
    direct();
  };
}

/** Alters every claim table each time before it looks at what time alone ends. */
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
