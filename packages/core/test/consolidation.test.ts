// Which machines the autoscaler drains because others can take their tasks, and which free GPUs count as spare.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Autoscaler, type AutoscalerPlan, capacityOf, Job, type MachineStatus, NO_RESOURCES } from '../src/index';
import { clusterConfig, limits, listed, PARTITIONER, statuses, types, used, type } from './autoscaler-fixtures';
import { machineStatusOf, specOf } from './fixtures';

// Guards against spare GPUs on machines whose reports are full, so that none are rented and the next service waits.
test('free GPUs that no report has space for do not count as spare, and nothing is moved to them', () => {
  const fullReport = (name: string): MachineStatus => {
    const { free } = machineStatusOf(name);
    return machineStatusOf(name, { free: { ...free, reportBytes: 50 } });
  };
  const outcome = (machines: readonly MachineStatus[], headroom: number): AutoscalerPlan => {
    const autoscaler = new Autoscaler(clusterConfig, 1, { ...limits, headroom });
    autoscaler.applyCloudList(
      machines.map((m) => listed(m.name, 60)),
      0,
    );
    return autoscaler.plan({
      now: 10_000,
      types,
      statuses: statuses(1, machines),
      unschedulable: [],
      partitioner: PARTITIONER,
    });
  };
  const busy = [used('m-1', 4), used('m-2', 4)];
  const rented = ({ scaleOut }: AutoscalerPlan): number => scaleOut.reduce((sum, { count }) => sum + count, 0);
  assert.equal(rented(outcome([...busy, machineStatusOf('m-3')], 0.5)), 0);
  assert.ok(rented(outcome([...busy, fullReport('m-3')], 0.5)) > 0);
  const drained = (elsewhere: MachineStatus): readonly string[] => outcome([used('m-4', 1), elsewhere], 0).drain;
  assert.deepEqual(drained(used('m-5', 2)), ['m-4']);
  assert.deepEqual(drained({ ...used('m-5', 2), free: { ...used('m-5', 2).free, reportBytes: 50 } }), []);
});

test('a nearly empty machine is drained only if its tasks fit elsewhere in the zone and the headroom is kept', () => {
  const plan = (machines: readonly MachineStatus[]): readonly string[] => {
    const autoscaler = new Autoscaler(clusterConfig, 1, { ...limits, headroom: 0.1 });
    return autoscaler.plan({
      now: 100,
      types,
      statuses: statuses(1, machines),
      unschedulable: [],
      partitioner: PARTITIONER,
    }).drain;
  };
  assert.deepEqual(plan([used('m-1', 1), used('m-2', 2), used('m-3', 2), used('m-4', 3)]), ['m-1']);
  assert.deepEqual(plan([used('m-1', 1), used('m-2', 4), used('m-3', 3)]), [], 'nothing to spare');
  const elsewhere = ['m-2', 'm-3', 'm-4'].map((n) => used(n, 2, { zone: 'b' }));
  assert.deepEqual(
    plan([used('m-1', 1), ...elsewhere]).filter((n) => n === 'm-1'),
    [],
    'nothing free in its zone',
  );
});

// The cloud's list may be far out of date, or older than the previous one. If machines that such a list lacks counted
// as gone, they would be returned while they boot, and rented again.
test('spot jobs of a team without a guarantee neither rent ordinary machines nor prevent consolidation', () => {
  const teams = new Map([
    ['red', { name: 'red', cpus: 0, gpus: 4, cpusMax: 0, gpusMax: 0 }],
    ['guests', { name: 'guests', cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 }],
  ]);
  const machines = [used('m-1', 1), used('m-2', 2), used('m-3', 2), used('m-4', 3)];
  const plan = (team: string, spot: boolean): AutoscalerPlan => {
    const autoscaler = new Autoscaler({ ...clusterConfig, teams }, 1, { ...limits, headroom: 0.1 });
    for (const zone of type.zones)
      autoscaler.recordCapacityRefusal({ request: 'r', type: 'box', zone, spot: true, count: 1 }, 0);
    const job = new Job('j-1');
    job.spec = specOf('j-1', { team, spot, gpus: 4 });
    const unschedulable = [{ job, count: 2, zones: null }];
    return autoscaler.plan({
      now: 100,
      types,
      statuses: statuses(1, machines),
      unschedulable,
      partitioner: PARTITIONER,
    });
  };
  const countRented = ({ scaleOut }: AutoscalerPlan): number => scaleOut.reduce((sum, { count }) => sum + count, 0);
  assert.equal(countRented(plan('red', true)), 2);
  assert.equal(countRented(plan('guests', false)), 2);
  assert.equal(countRented(plan('guests', true)), 0);
  assert.deepEqual(plan('guests', true).drain, ['m-1']);
  assert.deepEqual(plan('red', true).drain, []);
});

// If only the time for which machines have been empty counted, the type with the higher price per GPU would be kept.
test('of idle and nearly empty machines that can be spared, the most expensive per GPU are drained first', () => {
  const expensive = { ...type, name: 'expensive', gpus: 2, cpus: 4, memoryGb: 16, price: 3, spotPrice: 0.8 };
  const two = new Map([type, expensive].map((t) => [t.name, t]));
  const drained = (machines: readonly MachineStatus[], headroom: number): readonly string[] => {
    const autoscaler = new Autoscaler(clusterConfig, 1, { ...limits, headroom });
    return autoscaler.plan({
      now: 100,
      types: two,
      statuses: statuses(1, machines),
      unschedulable: [],
      partitioner: PARTITIONER,
    }).drain;
  };
  const half = capacityOf({ cpus: 4, gpus: 2, memoryGb: 16 });
  const empty = (name: string, overrides: Partial<MachineStatus>): MachineStatus =>
    machineStatusOf(name, { empty: true, ...overrides });
  const busy = used('m-1', 4);
  const box = empty('m-2', { emptyMs: 90_000 });
  const expensiveBox = empty('m-3', { type: 'expensive', free: half, emptyMs: 60_000 });
  assert.deepEqual(drained([busy, box, expensiveBox], 0.5), ['m-3']);
  const one = capacityOf({ cpus: 2, gpus: 1, memoryGb: 8 });
  const nearlyEmpty = machineStatusOf('m-6', {
    type: 'expensive',
    free: one,
    byPriority: [one, NO_RESOURCES, NO_RESOURCES, NO_RESOURCES],
  });
  assert.deepEqual(drained([used('m-4', 1), used('m-5', 2), nearlyEmpty], 0.5), ['m-6']);
});
