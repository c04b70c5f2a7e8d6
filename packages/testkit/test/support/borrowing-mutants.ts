// One mutant for each check of borrowing; mutants.test.ts runs them.
import { Accounts } from '@gingerlock/borrowing';
import { LeaderBorrowing, OwnerReclaims } from '@gingerlock/daemon';
import { PRIORITIES } from '@gingerlock/wire';
import type { Invariant } from '../../src/index';
import { type Mutant, patch } from './mutant';
import { readJobsAs } from './patches';

/** A fleet that can not grow, in which one team's surge needs the resources that another's batch jobs use. */
const BORROWING: Pick<Mutant, 'faults' | 'options'> = {
  options: { capacity: 2, gpusMax: 48, guaranteedGpus: 34, features: { borrowing: { enabled: true, max_share: 0.5 } } },
  faults: [
    { kind: 'batch wave', team: 1, tasks: 50, estimateS: 40 },
    { kind: 'batch wave', team: 0, tasks: 6, estimateS: 40 },
    { kind: 'surge', team: 0, replicas: 12, everyMs: 1500, forMs: 60_000 },
    { kind: 'surge', team: 1, replicas: 12, everyMs: 1500, forMs: 60_000 },
  ],
};

/** Mutants that `BorrowingAudit` must detect. */
export const BORROWING_MUTANTS = {
  below_guarantee: {
    ...BORROWING,
    broken: 'the CPUs and GPUs that a team surely uses are counted ten times',
    apply: () =>
      patch(
        Accounts.prototype,
        'of',
        (original) =>
          function (this: Accounts, team) {
            const account = original.call(this, team);
            if (account === undefined) return undefined;
            const { cpus, gpus } = account.surelyUsed;
            return { ...account, surelyUsed: { ...account.surelyUsed, cpus: cpus * 10, gpus: gpus * 10 } };
          },
      ),
  },
  promised_twice: {
    ...BORROWING,
    broken: 'the leader does not see the reclaims that are under way',
    apply: () =>
      patch(
        LeaderBorrowing.prototype,
        'plan',
        (original) =>
          function (this: LeaderBorrowing, view) {
            const { reclaims } = this.context.clusterState;
            const stored = [...reclaims];
            reclaims.clear();
            try {
              return original.call(this, view);
            } finally {
              for (const [partitionId, ofPartition] of stored) reclaims.set(partitionId, ofPartition);
            }
          },
      ),
  },
  replica_reclaimed: {
    faults: BORROWING.faults!,
    options: {
      ...BORROWING.options,
      guaranteedGpus: 0,
      load: 3,
      jobs: {
        kind: 'service',
        priority: 'production',
        gpus: 1,
        spot: false,
        zone: null,
        spread: false,
        oneZone: false,
      },
    },
    broken: 'the order of priorities is reversed',
    apply: () =>
      readJobsAs((job) => {
        const reversed = PRIORITIES.length - 1 - PRIORITIES.indexOf(job.spec.priority);
        Object.defineProperty(job, 'ownPriority', { configurable: true, get: () => reversed });
        job.effectivePriority = job.ownPriority;
      }),
  },
  endless_reclaim: {
    ...BORROWING,
    forMs: 200_000,
    broken: 'records of finished or abandoned reclaims are never removed',
    apply: () => {
      const restoreRemovals = patch(OwnerReclaims.prototype, 'removals', () => () => []);
      const restoreAbandoned = patch(LeaderBorrowing.prototype, 'abandoned', () => () => []);
      return () => {
        restoreRemovals();
        restoreAbandoned();
      };
    },
  },
} satisfies Partial<Record<Invariant, Mutant>>;
