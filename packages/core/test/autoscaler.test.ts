import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CloudMachine } from '@gingerlock/wire';
import { Autoscaler, type AutoscalerPlan, Job, type MachineStatus, machineUse, NO_RESOURCES } from '../src/index';
import { clusterConfig, limits, listed, PARTITIONER, statuses, types, used, type } from './autoscaler-fixtures';
import { machineStatusOf, specOf } from './fixtures';

test('a new leader gives machines time to send a heartbeat before it returns silent ones', () => {
  const autoscaler = new Autoscaler(clusterConfig, 1, limits);
  autoscaler.applyCloudList([listed('m-1', 500), listed('m-2', 500)], 0);
  const plan = (now: number, machines: readonly MachineStatus[], term: number): readonly string[] =>
    autoscaler.plan({ now, types, statuses: statuses(term, machines), unschedulable: [], partitioner: PARTITIONER })
      .scaleIn;
  assert.deepEqual(plan(100, [], 1), []);
  assert.deepEqual(plan(10_000, [machineStatusOf('m-1')], 1), []);
  // The partition has a new owner, which also gets the time to receive a heartbeat.
  assert.deepEqual(plan(13_000, [machineStatusOf('m-1')], 2), []);
  assert.deepEqual(plan(20_000, [machineStatusOf('m-1')], 2), []);
  assert.deepEqual(plan(26_000, [machineStatusOf('m-1')], 2), ['m-2']);
});

test('idle machines with a very short boot time are kept until tasks can be assigned to them', () => {
  const autoscaler = new Autoscaler(clusterConfig, 1, limits);
  const quick = new Map([['box', { ...type, bootS: 0.1 }]]);
  const machines = [machineStatusOf('m-1', { empty: true, emptyMs: 1500 }), used('m-2', 3), used('m-3', 3)];
  autoscaler.applyCloudList([listed('m-1', 5), listed('m-2', 5), listed('m-3', 5)], 0);
  const plan = autoscaler.plan({
    now: 100,
    types: quick,
    statuses: statuses(1, machines),
    unschedulable: [],
    partitioner: PARTITIONER,
  });
  assert.deepEqual(plan.drain, []);
});

test('a machine is returned only once its owner reports it as draining and empty', () => {
  const autoscaler = new Autoscaler(clusterConfig, 1, limits);
  const others = [used('m-2', 3), used('m-3', 3)];
  autoscaler.applyCloudList(
    ['m-1', 'm-2', 'm-3'].map((n) => listed(n, 100)),
    0,
  );
  const idle = machineStatusOf('m-1', { empty: true, emptyMs: 60_000 });
  const first = autoscaler.plan({
    now: 100,
    types,
    statuses: statuses(1, [idle, ...others]),
    unschedulable: [],
    partitioner: PARTITIONER,
  });
  assert.deepEqual(first.drain, ['m-1']);
  assert.deepEqual(first.scaleIn, []);
  const drained = { ...idle, draining: true, takesWork: false };
  const second = autoscaler.plan({
    now: 200,
    types,
    statuses: statuses(1, [drained, ...others]),
    unschedulable: [],
    partitioner: PARTITIONER,
  });
  assert.deepEqual(second.scaleIn, ['m-1']);
});

/** The status of a machine that holds no tasks and for which a waiting batch task is planned. */
function planned(name: string, overrides: Partial<MachineStatus> = {}): MachineStatus {
  const plannedResources = { ...NO_RESOURCES, cpus: 2, gpus: 1, memoryGb: 8 };
  return used(name, 1, {
    byPriority: [NO_RESOURCES, NO_RESOURCES, plannedResources, NO_RESOURCES],
    empty: true,
    emptyMs: 60_000,
    ...overrides,
  });
}

// If such a machine counted as idle, it would be returned; if it counted as in use, it would be consolidated. Its tasks
// would then wait for another machine, where the same would happen.
test('a machine for which waiting tasks are planned is neither returned nor consolidated', () => {
  assert.equal(machineUse(planned('m-1')), 'planned');
  assert.equal(machineUse(planned('m-1', { empty: false })), 'in use');
  assert.equal(machineUse(machineStatusOf('m-1', { empty: true })), 'idle');
  const autoscaler = new Autoscaler(clusterConfig, 1, limits);
  const machines = [planned('m-1'), planned('m-2', { spot: true }), machineStatusOf('m-3'), machineStatusOf('m-4')];
  autoscaler.applyCloudList(
    machines.map((m) => listed(m.name, 100)),
    0,
  );
  const plan = autoscaler.plan({
    now: 100,
    types,
    statuses: statuses(1, machines),
    unschedulable: [],
    partitioner: PARTITIONER,
  });
  assert.deepEqual(
    plan.drain.filter((name) => name === 'm-1' || name === 'm-2'),
    [],
  );
  assert.deepEqual(plan.scaleIn, []);
});

test('a draining idle machine is kept, and none is rented, if a waiting task fits on it', () => {
  const autoscaler = new Autoscaler(clusterConfig, 1, limits);
  const others = [used('m-2', 4), used('m-3', 4)];
  autoscaler.applyCloudList(
    ['m-1', 'm-2', 'm-3'].map((n) => listed(n, 100)),
    0,
  );
  const idle = machineStatusOf('m-1', { empty: true, emptyMs: 60_000 });
  const drained = { ...idle, draining: true, takesWork: false };
  const job = new Job('j-1');
  job.spec = specOf('j-1');
  const planWith = (now: number, machine: MachineStatus, count: number): AutoscalerPlan =>
    autoscaler.plan({
      now,
      types,
      statuses: statuses(1, [machine, ...others]),
      unschedulable: count > 0 ? [{ job, count, zones: null }] : [],
      partitioner: PARTITIONER,
    });
  assert.deepEqual(planWith(100, idle, 0).drain, ['m-1']);
  const kept = planWith(200, drained, 4);
  assert.deepEqual([kept.scaleOut, kept.scaleIn, kept.drain], [[], [], []]);
  // One task more than fits on the machine: another machine is rented for it.
  assert.deepEqual(planWith(300, idle, 0).drain, ['m-1']);
  const both = planWith(400, drained, 5);
  assert.deepEqual([both.scaleIn, both.scaleOut.map(({ count }) => count)], [[], [1]]);
  // The waiting task cannot run on the machine, so it is returned.
  job.spec = specOf('j-1', { zone: 'b' });
  assert.deepEqual(planWith(500, idle, 0).drain, ['m-1']);
  assert.deepEqual(planWith(600, drained, 1).scaleIn, ['m-1']);
});

test('a booting machine that is late is kept, and one that has failed to boot is returned', () => {
  const autoscaler = new Autoscaler(clusterConfig, 1, limits);
  autoscaler.recordScaleOut(['m-9'], { request: 'r', type: 'box', zone: 'a', spot: false, count: 1 }, 0);
  const plan = (now: number): readonly string[] =>
    autoscaler.plan({ now, types, statuses: statuses(1, []), unschedulable: [], partitioner: PARTITIONER }).scaleIn;
  autoscaler.applyCloudList([{ ...listed('m-9', 10), state: 'booting' }], 10_000);
  assert.deepEqual(plan(25_000), []);
  assert.deepEqual(plan(41_000), ['m-9']);
});

test('nothing is rented in a silent zone, even by a new leader that never had a status from it', () => {
  const silent = { zone: 'b', silentMs: 4000 };
  const responsive = [used('m-1', 4), used('m-2', 4)];
  const cutOff = ['m-3', 'm-4'].map((n) => used(n, 4, silent));
  const list = [
    listed('m-1', 500),
    listed('m-2', 500),
    ...['m-3', 'm-4'].map((n) => ({ ...listed(n, 500), zone: 'b' })),
  ];
  const wanted = { headroom: 1, maxOrdinaryMachines: Infinity, maxSpotMachines: Infinity };
  const zones = (autoscaler: Autoscaler, now: number, machines: readonly MachineStatus[]): string[] =>
    autoscaler
      .plan({ now, types, statuses: statuses(1, machines), unschedulable: [], partitioner: PARTITIONER })
      .scaleOut.map((r) => r.zone);

  const earlier = new Autoscaler(clusterConfig, 1, wanted);
  earlier.applyCloudList(list, 0);
  assert.deepEqual(zones(earlier, 100, [...responsive, ...cutOff]), ['a']);

  const fresh = new Autoscaler(clusterConfig, 2, wanted);
  fresh.applyCloudList(list, 0);
  assert.deepEqual(zones(fresh, 100, responsive), ['a']);
  // The zone still counts as silent after its silent machines have been returned.
  fresh.recordScaleIn(['m-3', 'm-4'], 200);
  assert.deepEqual(zones(fresh, 300, responsive), ['a']);
  // A machine of the zone sends heartbeats again.
  const back = [...responsive, used('m-5', 4, { zone: 'b' })];
  assert.ok(zones(fresh, 400, back).includes('b'));
});

// If machines that the cloud has taken back stayed silent in their owners' statuses, a zone with only such machines
// would count as unreachable, and jobs that have to run there would wait forever.
test('a silent machine that is no longer listed is returned, so that its partition removes it', () => {
  const autoscaler = new Autoscaler(clusterConfig, 1, limits);
  autoscaler.applyCloudList([listed('m-1', 500)], 0);
  const gone = { ...used('m-1', 2), silentMs: 1e9 };
  const plan = (now: number): readonly string[] =>
    autoscaler.plan({ now, types, statuses: statuses(1, [gone]), unschedulable: [], partitioner: PARTITIONER }).scaleIn;
  for (let now = 1000; now <= 4000; now += 1000) {
    assert.deepEqual(autoscaler.applyCloudList([], now).failed, []);
    assert.deepEqual(plan(now), []);
  }
  autoscaler.applyCloudList([], 6000);
  assert.deepEqual(plan(6000), ['m-1']);
  // A newer list contains the machine again.
  autoscaler.applyCloudList([listed('m-1', 500)], 7000);
  assert.deepEqual(plan(7000), []);
});

test('capacity for silent machines and missing services is rented before their worker leases expire', () => {
  const plan = (machines: readonly MachineStatus[], missing = NO_RESOURCES): number => {
    const autoscaler = new Autoscaler(clusterConfig, 1, limits);
    autoscaler.applyCloudList(
      machines.map((m) => listed(m.name, 500)),
      0,
    );
    const current = statuses(1, machines).map((status, i) => (i === 0 ? { ...status, missing } : status));
    return autoscaler
      .plan({ now: 100, types, statuses: current, unschedulable: [], partitioner: PARTITIONER })
      .scaleOut.reduce((sum, { count }) => sum + count, 0);
  };
  const healthy = [used('m-1', 4), used('m-2', 4), used('m-3', 4)];
  assert.equal(plan(healthy), 0);
  assert.equal(plan([...healthy, used('m-4', 4, { silentMs: 4000 })]), 1);
  // An empty machine needs no replacement; if most machines are silent, the fault is probably in this controller.
  assert.equal(plan([...healthy, machineStatusOf('m-4', { silentMs: 4000, empty: true })]), 0);
  assert.equal(plan([healthy[0]!, ...['m-2', 'm-3', 'm-4'].map((n) => used(n, 4, { silentMs: 4000 }))]), 0);
  const missing = { ...NO_RESOURCES, cpus: 12, gpus: 6, memoryGb: 48 };
  assert.equal(plan(healthy, missing), 2);
  // Free GPUs reduce the number of machines to rent.
  assert.equal(plan([...healthy, machineStatusOf('m-4')], missing), 1);
});

test('a machine that was rented after the time that a list describes is not returned if the list lacks it', () => {
  const autoscaler = new Autoscaler(clusterConfig, 1, limits);
  const plan = (now: number): readonly string[] =>
    autoscaler.plan({
      now,
      types,
      statuses: statuses(1, [used('m-1', 4)]),
      unschedulable: [],
      partitioner: PARTITIONER,
    }).scaleIn;
  const booting = (name: string, ageS: number): CloudMachine => ({ ...listed(name, ageS), state: 'booting' });
  autoscaler.applyCloudList([listed('m-1', 100)], 0);
  autoscaler.recordScaleOut(['m-2'], { request: 'r', type: 'box', zone: 'a', spot: false, count: 1 }, 1000);
  autoscaler.applyCloudList([listed('m-1', 103), booting('m-2', 2)], 3000);
  // From now on, each list describes a time before the rental of m-2, and every other one is older than the one before.
  for (let now = 4000; now <= 1000 + 3 * type.bootS * 1000; now += 1000) {
    autoscaler.applyCloudList([listed('m-1', now % 2000 === 0 ? 100 : 100.5)], now);
    assert.deepEqual(plan(now), [], `at ${now}`);
  }
});

// The cloud's answer to the return proves that the machine is gone.
test('a machine that is missing from a list of a later time is returned', () => {
  const autoscaler = new Autoscaler(clusterConfig, 1, limits);
  const plan = (now: number): readonly string[] =>
    autoscaler.plan({
      now,
      types,
      statuses: statuses(1, [used('m-1', 4)]),
      unschedulable: [],
      partitioner: PARTITIONER,
    }).scaleIn;
  autoscaler.applyCloudList([listed('m-1', 100), { ...listed('m-2', 5), state: 'booting' }], 0);
  autoscaler.applyCloudList([listed('m-1', 101)], 1000);
  assert.deepEqual(plan(1000 + clusterConfig.cloudListLagMs * 2), []);
  autoscaler.applyCloudList([listed('m-1', 106)], 6000);
  assert.deepEqual(plan(6000), ['m-2']);
});

// Otherwise, long jobs of teams without a guarantee would cause ordinary machines to be rented, and would prevent
// consolidation.
