// Code broken on purpose, once for each check of borrowing: see mutants.test.ts.
import { Accounts } from '@gingerlock/borrowing';
import { LeaderBorrowing, OwnerReclaims } from '@gingerlock/daemon';
import { PRIORITIES } from '@gingerlock/wire';
import type { Invariant } from '../../src/index';
import { type Mutant, patch } from './mutant';
import { readJobsAs } from './patches';

/** A fleet that can not grow, in which one team's surge takes what another's batch work has. */
const BORROWING: Pick<Mutant, 'faults' | 'options'> = {
  options: { capacity: 2, gpusMax: 48, guaranteedGpus: 34, features: { borrowing: { enabled: true, max_share: 0.5 } } },
  faults: [
    { kind: 'batch wave', team: 1, tasks: 50, estimateS: 40 },
    { kind: 'batch wave', team: 0, tasks: 6, estimateS: 40 },
    { kind: 'surge', team: 0, replicas: 12, everyMs: 1500, forMs: 60_000 },
    { kind: 'surge', team: 1, replicas: 12, everyMs: 1500, forMs: 60_000 },
  ],
};

/** The mutants that `BorrowingAudit` must find. */
export const BORROWING_MUTANTS = {
  below_guarantee: {
    ...BORROWING,
    broken: 'what surely runs of a team is taken for ten times as much',
    apply: () =>
      patch(
        Accounts.prototype,
        'of',
        (original) =>
          function (this: Accounts, team) {
            const account = original.call(this, team);
            if (account === undefined) return undefined;
            const { cpus, gpus, memoryGb } = account.surelyUsed;
            return { ...account, surelyUsed: { cpus: cpus * 10, gpus: gpus * 10, memoryGb } };
          },
      ),
  },
  promised_twice: {
    ...BORROWING,
    broken: 'the leader does not see what is under way',
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
    broken: 'priorities are read upside down',
    apply: () =>
      readJobsAs((job) => {
        const upsideDown = PRIORITIES.length - 1 - PRIORITIES.indexOf(job.spec.priority);
        Object.defineProperty(job, 'ownPriority', { configurable: true, get: () => upsideDown });
        job.effectivePriority = job.ownPriority;
      }),
  },
  endless_reclaim: {
    ...BORROWING,
    forMs: 200_000,
    broken: 'reclaims that are over are never removed',
    apply: () => {
      const removals = patch(OwnerReclaims.prototype, 'removals', () => () => []);
      const abandoned = patch(LeaderBorrowing.prototype, 'abandoned', () => () => []);
      return () => {
        removals();
        abandoned();
      };
    },
  },
} satisfies Partial<Record<Invariant, Mutant>>;
