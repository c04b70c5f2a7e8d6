// Generates the parts of scenarios: faults alone and combined, sizes and deployments.
import fc from 'fast-check';
import type { MachineType } from '@gingerlock/wire';
import type { Deployment, Fault } from '../../src/index';

const seconds = (min: number, max: number): fc.Arbitrary<number> =>
  fc.integer({ min: min * 10, max: max * 10 }).map((n) => n * 100);
/** The number of a controller; -1 is the leader at the time of the fault. */
const node = fc.integer({ min: -1, max: 6 });
const machine = fc.integer({ min: 0, max: 20 });

const zone = fc.integer({ min: 0, max: 2 });
const how = fc.constantFrom('hold' as const, 'lose' as const);

const fault: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({
    kind: fc.constant('crash' as const),
    nodes: fc.uniqueArray(fc.integer({ min: 0, max: 6 }), { minLength: 1, maxLength: 7 }),
    backMs: fc.oneof(seconds(0.1, 1), seconds(2, 8)),
  }),
  fc.record({
    kind: fc.constant('flapping' as const),
    node,
    times: fc.integer({ min: 2, max: 6 }),
    everyMs: seconds(0.3, 4),
  }),
  fc.record({
    kind: fc.constant('freeze' as const),
    node,
    forMs: seconds(1, 35),
    wakes: fc.constantFrom('input first' as const, 'timers first' as const),
  }),
  fc.record({
    kind: fc.constant('broken jobs' as const),
    count: fc.integer({ min: 1, max: 3 }),
    tasks: fc.constantFrom(1, 2, 40),
    everyMs: seconds(1, 20),
    cancelAfterMs: seconds(5, 60),
  }),
  fc.record({
    kind: fc.constant('silent controller' as const),
    node,
    how: fc.constantFrom('hold' as const, 'lose' as const, 'refuse' as const),
    forMs: seconds(5, 90),
  }),
  fc.record({
    kind: fc.constant('boot trouble' as const),
    never: fc.constantFrom(0, 0.3, 1),
    factor: fc.constantFrom(0.05, 1, 4),
    forMs: seconds(10, 60),
  }),
  fc.record({ kind: fc.constant('stale list' as const), ms: seconds(2, 40), forMs: seconds(10, 60) }),
  fc.record({
    kind: fc.constant('guests' as const),
    what: fc.constantFrom('flood' as const, 'huge array' as const, 'long work' as const),
    perS: fc.constantFrom(5, 25),
    forMs: seconds(5, 20),
  }),
  fc.record({
    kind: fc.constant('machines hang' as const),
    machine,
    count: fc.constantFrom(1, 3, 12),
    forMs: seconds(1, 12),
  }),
  fc.record({
    kind: fc.constant('late peer copies' as const),
    share: fc.constantFrom(0.05, 0.5),
    withinMs: seconds(1, 20),
    forMs: seconds(5, 40),
  }),
  fc.record({ kind: fc.constant('state outage' as const), forMs: seconds(1, 25) }),
  fc.record({
    kind: fc.constant('state refuses one' as const),
    node,
    how: fc.constantFrom('refuse' as const, 'lose answers' as const),
    forMs: seconds(1, 40),
  }),
  fc.record({
    kind: fc.constant('gap' as const),
    node,
    cancels: fc.integer({ min: 1, max: 8 }),
    afterMs: seconds(0.3, 3),
    forMs: seconds(5, 30),
  }),
  fc.record({
    kind: fc.constant('state answers lost' as const),
    share: fc.constantFrom(0.1, 0.3, 0.6),
    forMs: seconds(5, 40),
  }),
  fc.record({
    kind: fc.constant('late writes' as const),
    share: fc.constantFrom(0.1, 0.4, 1),
    atOnce: fc.boolean(),
    forMs: seconds(2, 30),
  }),
  fc.record({
    kind: fc.constant('reports for the next' as const),
    share: fc.constantFrom(0.1, 1),
    forMs: seconds(5, 40),
  }),
  fc.record({
    kind: fc.constant('leaders end' as const),
    times: fc.integer({ min: 1, max: 6 }),
    everyMs: seconds(0.5, 10),
    backMs: seconds(0.2, 8),
  }),
  fc.record({
    kind: fc.constant('cancel now' as const),
    count: fc.integer({ min: 1, max: 8 }),
    hangMs: fc.oneof(fc.constant(0), seconds(1, 12)),
  }),
  fc.record({ kind: fc.constant('cancel at end' as const), share: fc.constantFrom(0.3, 1), forMs: seconds(5, 40) }),
  fc.record({
    kind: fc.constantFrom('odd requests' as const, 'close looks' as const, 'fast boots' as const),
    forMs: seconds(5, 40),
  }),
  fc.record({ kind: fc.constant('small jobs' as const), perS: fc.constantFrom(1, 2), forMs: seconds(5, 30) }),
  fc.record({
    kind: fc.constant('node cut' as const),
    node,
    from: fc.constantFrom('state' as const, 'peers' as const, 'both' as const, 'workers' as const),
    how: fc.constantFrom('hold' as const, 'lose' as const, 'refuse' as const),
    forMs: seconds(1, 45),
  }),
  fc.record({
    kind: fc.constant('deaf machines' as const),
    machine,
    count: fc.constantFrom(1, 3),
    forMs: seconds(1, 30),
  }),
  fc.record({
    kind: fc.constant('mute machines' as const),
    machine,
    count: fc.constantFrom(1, 3),
    how,
    forMs: seconds(1, 30),
  }),
  fc.record({
    kind: fc.constant('late copies' as const),
    share: fc.constantFrom(0.05, 0.3, 1),
    withinMs: seconds(1, 20),
    forMs: seconds(5, 40),
  }),
  fc.record({ kind: fc.constant('lost answers' as const), share: fc.constantFrom(0.05, 0.3), forMs: seconds(1, 20) }),
  fc.record({
    kind: fc.constant('machine dies' as const),
    machine,
    listedAs: fc.constantFrom('failed' as const, 'gone' as const),
  }),
  fc.record({ kind: fc.constant('unhealthy machine' as const), machine, forMs: seconds(5, 30) }),
  fc.record({ kind: fc.constant('cloud outage' as const), forMs: seconds(5, 30) }),
  fc.record({ kind: fc.constant('events forgotten' as const) }),
  fc.record({ kind: fc.constant('rolling restarts' as const), everyMs: seconds(1, 10), backMs: seconds(0.2, 5) }),
  fc.record({
    kind: fc.constant('slow controller' as const),
    node,
    ms: fc.constantFrom(100, 400, 1500),
    forMs: seconds(5, 30),
  }),
  fc.record({ kind: fc.constant('peers refused' as const), forMs: seconds(1, 40) }),
  fc.record({
    kind: fc.constant('slow state service' as const),
    ms: fc.constantFrom(50, 300, 1200),
    forMs: seconds(5, 40),
  }),
  fc.record({ kind: fc.constantFrom('zone cut' as const, 'zones apart' as const), zone, how, forMs: seconds(1, 60) }),
  fc.record({
    kind: fc.constant('spot wave' as const),
    share: fc.constantFrom(0.3, 1),
    noticeMs: fc.constantFrom(0, 3000),
  }),
  fc.record({
    kind: fc.constant('slow machine' as const),
    machine,
    factor: fc.constantFrom(2, 6),
    forMs: seconds(5, 40),
  }),
  fc.record({
    kind: fc.constant('pipelines' as const),
    everyMs: seconds(2, 10),
    forMs: seconds(10, 40),
    seed: fc.integer({ min: 1, max: 1_000_000 }),
  }),
  fc.record({ kind: fc.constant('state limits' as const) }),
  fc.record({ kind: fc.constant('zone apart' as const), zone, how, forMs: seconds(1, 60) }),
  fc.record({
    kind: fc.constantFrom('writes unanswered' as const, 'renewals refused' as const),
    node,
    forMs: seconds(1, 60),
  }),
  fc.record({
    kind: fc.constant('slow reads' as const),
    node,
    ms: fc.constantFrom(200, 500, 900),
    forMs: seconds(2, 40),
  }),
  fc.record({
    kind: fc.constant('unhelpful reads' as const),
    keptEvents: fc.constantFrom(3, 30, 1000),
    pageItems: fc.constantFrom(3, 20, 1000),
    forMs: seconds(5, 60),
  }),
  fc.record({
    kind: fc.constant('lapsed apart' as const),
    node,
    lapseMs: seconds(1, 5),
    forMs: seconds(10, 60),
  }),
  fc.record({
    kind: fc.constant('back and cut off' as const),
    node,
    backMs: seconds(0.1, 1),
    readMs: fc.constantFrom(300, 600, 900),
    afterMs: seconds(1, 5),
    forMs: seconds(10, 60),
  }),
);

/** One fault, or two at most 2.5 s apart: most violations in operation followed two faults in quick succession. */
export const combination = fc
  .record({ at: seconds(3, 60), apartMs: fc.integer({ min: 0, max: 2500 }), first: fault, second: fc.option(fault) })
  .map(({ at, apartMs, first, second }) => [
    { at, fault: first },
    ...(second === null ? [] : [{ at: at + apartMs, fault: second }]),
  ]);

/** Options that set the size of a world: numbers of controllers and machines, arrivals, limits and times. */
export const size = fc.record(
  {
    controllers: fc.integer({ min: 1, max: 7 }),
    machines: fc.integer({ min: 3, max: 24 }),
    capacity: fc.integer({ min: 3, max: 12 }),
    load: fc.constantFrom(1, 2),
    nextLimits: fc.constantFrom({ valueKb: 2, txnOps: 4, writesPerS: 70 }, { valueKb: 8, txnOps: 12, writesPerS: 100 }),
    // Defaults of `World` and settings of deployments; bounds that are multiples of these times must hold for all.
    times: fc.constantFrom(
      { heartbeatIntervalS: 1, workerLeaseS: 6, cancellationBoundS: 20 },
      { heartbeatIntervalS: 1.5, workerLeaseS: 10, cancellationBoundS: 30 },
      { heartbeatIntervalS: 5, workerLeaseS: 27, cancellationBoundS: 57 },
    ),
  },
  { noNullPrototype: true },
);

/** A machine type that fits every random job, in at least two zones, so that jobs can be spread. */
function machineType(name: string, zones: readonly string[]): fc.Arbitrary<MachineType> {
  return fc
    .record({
      size: fc.constantFrom(1, 2, 4),
      price: fc.constantFrom(0.5, 1, 1.2),
      spotShare: fc.constantFrom(0.2, 0.5, 1.1),
      fetchGbPerS: fc.constantFrom(5, 15, 60),
      cacheGb: fc.constantFrom(30, 100),
      bootS: fc.constantFrom(1, 5, 12),
      zones: fc.subarray([...zones], { minLength: 2 }),
    })
    .map(({ size: units, price, spotShare, ...rest }) => ({
      ...rest,
      name,
      cpus: units * 8,
      gpus: units * 2,
      memoryGb: units * 32,
      price: price * units,
      spotPrice: price * units * spotShare,
    }));
}

/** Two to five zones, with or without a controller, one to three machine types, and exact or skewed clocks. */
export const deployment: fc.Arbitrary<Deployment> = fc.integer({ min: 2, max: 5 }).chain((count) => {
  const zones = ['north', 'south', 'east', 'west', 'centre'].slice(0, count);
  const everywhere = machineType('type-0', zones).map((type) => ({ ...type, zones }));
  return fc.record({
    zones: fc.constant(zones),
    controllerZones: fc.subarray(zones, { minLength: 1 }),
    types: fc.oneof(
      fc.tuple(everywhere),
      fc.tuple(everywhere, machineType('type-1', zones)),
      fc.tuple(everywhere, machineType('type-1', zones), machineType('type-2', zones)),
    ),
    maxClockSkewMs: fc.constantFrom(0, 100, 1000),
    neverUp: fc.constantFrom(0, 0.05, 0.3),
    fetch: fc.constantFrom('by type' as const, null),
  });
});
