// One mutant for each check of where and when tasks run, and of ownership; mutants.test.ts runs them.
import { addResources, ClaimTable, Ownership } from '@gingerlock/core';
import { PartitionOwner } from '@gingerlock/daemon';
import type { Invariant } from '../../src/index';
import { type Mutant, patch } from './mutant';
import { beforeTick, dropStops, readJobsAs } from './patches';

/** Mutants that `PlacementAudit` and `OwnershipAudit` must detect. */
export const PLACEMENT_MUTANTS = {
  overcommitted: {
    broken: 'machines seem to have more free resources than they have',
    apply: () =>
      patch(
        ClaimTable.prototype,
        'freeResources',
        (original) =>
          function (this: ClaimTable, machine) {
            const available = original.call(this, machine);
            return addResources(available, { cpus: 32, gpus: 8, memoryGb: 128, reportBytes: 0 });
          },
      ),
  },
  ran_twice: {
    broken: 'claims end after 1.3 heartbeat intervals of silence',
    apply: () =>
      beforeTick((claimTable, now) => {
        for (const m of claimTable.machines.values()) {
          if (m.answeredAt !== null && now - m.answeredAt > claimTable.clusterConfig.heartbeatIntervalMs * 1.3)
            m.answeredAt = -1e9;
        }
      }),
  },
  quota: {
    broken: 'team limits are read ten times too high',
    apply: (world) => {
      for (const node of world().nodes) {
        const teams = node.controller!.settings.clusterConfig.teams as unknown as Map<string, { gpusMax: number }>;
        for (const team of teams.values()) team.gpusMax *= 10;
      }
      return () => undefined;
    },
  },
  wrong_place: {
    broken: 'zone constraints of jobs are ignored',
    apply: () =>
      readJobsAs((job) => {
        job.spec = { ...job.spec, spread: false, oneZone: false, zone: null };
      }),
  },
  ran_cancelled: {
    broken: 'workers never get stop commands',
    apply: dropStops,
  },
  start_cancelled: {
    broken: 'owners keep the waiting tasks of cancelled jobs and start them',
    faults: [{ kind: 'machines hang', machine: 0, count: 6, forMs: 5500 }],
    apply: () => {
      const restoreReturnable = patch(ClaimTable.prototype, 'returnable', () => () => new Map());
      const restoreWaiting = patch(
        ClaimTable.prototype,
        'waitingTasks',
        () =>
          function* (this: ClaimTable, job) {
            for (const task of this.tasksByJob.get(job.id)?.values() ?? []) if (task.state === 'waiting') yield task;
          },
      );
      return () => {
        restoreReturnable();
        restoreWaiting();
      };
    },
  },
  too_early: {
    broken: 'every job is ready, whatever it awaits',
    faults: [{ kind: 'pipelines', everyMs: 4000, forMs: 30_000, seed: 3 }],
    apply: () =>
      readJobsAs((job) => {
        job.isReady = true;
      }),
  },
  deposed_owner: {
    broken: 'owners do not check the ownership records while they resume',
    faults: [{ kind: 'lapsed apart', node: 0, lapseMs: 3000, forMs: 40_000 }],
    apply: () => {
      const restoreDecide = patch(
        Ownership.prototype,
        'decide',
        (original) =>
          function (this: Ownership, ...view) {
            return this.state === 'resuming' ? { kind: 'none' } : original.apply(this, view);
          },
      );
      const restoreIsOwner = patch(
        PartitionOwner.prototype,
        'isOwner',
        () =>
          function (this: PartitionOwner) {
            return this.ownershipTerm.isCurrent;
          },
      );
      return () => {
        restoreDecide();
        restoreIsOwner();
      };
    },
  },
  free_but_running: {
    broken: 'fencing periods last only one heartbeat interval',
    faults: [
      { kind: 'mute machines', machine: 0, count: 24, how: 'lose', forMs: 5000 },
      { kind: 'crash', nodes: [0, 1], backMs: 10_000 },
    ],
    apply: () =>
      beforeTick((claimTable) => {
        claimTable.fencedUntil = Math.min(
          claimTable.fencedUntil,
          claimTable.acquiredAt + claimTable.clusterConfig.heartbeatIntervalMs,
        );
      }),
  },
  stale_entry: {
    broken: 'waiting tasks lose their assigned zones',
    apply: () =>
      patch(
        ClaimTable.prototype,
        'syncJob',
        (original) =>
          function (this: ClaimTable, id, now) {
            const stopped = original.call(this, id, now);
            for (const task of this.tasksByJob.get(id)?.values() ?? []) task.zone = null;
            return stopped;
          },
      ),
  },
} satisfies Partial<Record<Invariant, Mutant>>;
