// Generates faults for scenarios of replica groups: faults of groups, and of controllers, machines, zones and the state
// service.
import fc from 'fast-check';
import type { Fault } from '../../src/index';
import { combination } from './scenario-generator';

const seconds = (min: number, max: number): fc.Arbitrary<number> =>
  fc.integer({ min: min * 10, max: max * 10 }).map((n) => n * 100);

const state = fc.constantFrom(
  'reserved' as const,
  'admitted' as const,
  'serving' as const,
  'ending' as const,
  'waiting' as const,
);

const afterMs = fc.integer({ min: 0, max: 1500 });

/** The groups that users submit in a scenario. */
export const submittedGroups: fc.Arbitrary<Fault> = fc.record({
  kind: fc.constant('groups' as const),
  // All groups together fit into one zone and one team's limit, beside ordinary jobs.
  count: fc.integer({ min: 1, max: 4 }),
  members: fc.integer({ min: 2, max: 4 }),
  gpus: fc.constantFrom(1, 2, 4),
  everyMs: seconds(0.1, 8),
  place: fc.constantFrom('any' as const, 'spread' as const, 'one zone' as const, 'spot' as const),
});

const groupFault: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({
    kind: fc.constant('members trouble' as const),
    state,
    what: fc.constantFrom('die' as const, 'hang' as const, 'mute' as const, 'notice' as const),
    machines: fc.integer({ min: 1, max: 2 }),
    afterMs,
    share: fc.constantFrom(0.5, 1),
    forMs: seconds(1, 12),
  }),
  fc.record({
    kind: fc.constant('crash at group' as const),
    who: fc.constantFrom('leader' as const, 'owners' as const, 'all' as const),
    state,
    afterMs,
    backMs: seconds(0.2, 6),
    forMs: seconds(5, 20),
  }),
  fc.record({
    kind: fc.constant('groups cancelled' as const),
    state,
    share: fc.constantFrom(0.3, 1),
    forMs: seconds(5, 20),
  }),
);

/** Either a `combination`, or a fault of groups and at most 2.5 s later the first fault of a `combination`. */
export const groupCombination = fc.oneof(
  combination,
  fc
    .record({ at: seconds(6, 60), apartMs: fc.integer({ min: 0, max: 2500 }), first: groupFault, other: combination })
    .map(({ at, apartMs, first, other }) => [
      { at, fault: first },
      ...other.slice(0, 1).map(({ fault }) => ({ at: at + apartMs, fault })),
    ]),
);
