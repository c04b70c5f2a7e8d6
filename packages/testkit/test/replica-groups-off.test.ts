// Replica groups that are switched off have no effect: a whole day has the same messages and requests as without the
// setting, and has no keys or messages of groups.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { holdRecord, KEYS, LEADERSHIP } from '@gingerlock/wire';
import { type Fault, GROUP_CLASS, runScenario, World } from '../src/index';

const FAULTS: readonly { readonly at: number; readonly fault: Fault }[] = [
  { at: 5000, fault: { kind: 'groups', count: 4, members: 3, gpus: 1, everyMs: 2000, place: 'spread' } },
  { at: 16_000, fault: { kind: 'crash', nodes: [-1], backMs: 3000 } },
  { at: 30_000, fault: { kind: 'machine dies', machine: 1, listedAs: 'failed' } },
];

const DECLARED = { enabled: false, classes: [GROUP_CLASS, 'service'] };

/** Returns all messages and requests that were sent on one day, in order, with the kinds of messages and the world. */
async function traceOf(features: unknown): Promise<{ trace: string[]; kinds: Set<string>; world: World }> {
  const trace: string[] = [];
  const kinds = new Set<string>();
  const world = new World({
    seed: 73,
    machines: 6,
    capacity: 6,
    gpusMax: 20,
    ...(features === undefined ? {} : { features }),
    falsify: (message) => {
      kinds.add(message.kind);
      trace.push(`${message.kind} ${JSON.stringify(message)}`);
      return message;
    },
  });
  world.network.onSent = (from, addr, path, body) => trace.push(`${from} ${addr} ${path} ${body.toString('hex')}`);
  await runScenario(world, { seed: 73, forMs: 90_000, faults: FAULTS });
  return { trace, kinds, world };
}

test('a day with replica groups switched off is identical, byte for byte, to a day without the setting', async () => {
  const absent = await traceOf(undefined);
  const off = await traceOf({ replica_groups: DECLARED });
  assert.ok(absent.trace.length > 1000);
  assert.deepEqual(off.trace, absent.trace);
  assert.ok(!absent.kinds.has('GroupReports'));
  for (const { world } of [absent, off]) {
    assert.deepEqual(
      [...world.state.data.keys()].filter((key) => key.startsWith('g/g/')),
      [],
    );
    const leadershipHold = holdRecord.read(world.state.data.get(KEYS.hold(LEADERSHIP))!.value);
    assert.equal(leadershipHold.takesGroupReports, undefined);
  }
});

test('when groups are switched off while some run, their tasks run as single tasks and the records are not changed', async () => {
  const on = { replica_groups: { ...DECLARED, enabled: true } };
  const world = new World({ seed: 74, machines: 6, capacity: 6, gpusMax: 40, load: 0.1, features: on });
  await runScenario(world, { seed: 74, forMs: 30_000, faults: FAULTS.slice(0, 1) });
  assert.deepEqual(world.violations, []);
  const records = [...world.state.data].filter(([key]) => key.startsWith('g/g/'));
  assert.ok(records.length > 0);
  for (const name of world.controllers) world.crash(name);
  world.switchFeatures({ replica_groups: DECLARED });
  for (const name of world.controllers) world.startNode(name);
  await world.sim.run(world.sim.now + 90_000);
  assert.deepEqual(world.violations, []);
  for (const { spec, cancelAt } of world.users.open()) {
    if (cancelAt > world.sim.now) assert.equal(world.tasksOn(spec.id), spec.tasks, spec.id);
  }
  for (const [key, { value }] of records) assert.deepEqual(world.state.data.get(key)?.value, value);
});

test('when groups are switched on while services run as single tasks, these end and start again as groups', async () => {
  const world = new World({ seed: 75, machines: 6, capacity: 6, gpusMax: 40, load: 0.1 });
  await runScenario(world, { seed: 75, forMs: 30_000, faults: FAULTS.slice(0, 1) });
  assert.ok(world.users.open().some(({ spec }) => spec.jobClass === GROUP_CLASS && world.tasksOn(spec.id) > 0));
  for (const name of world.controllers) world.crash(name);
  world.switchFeatures({ replica_groups: { enabled: true, classes: [GROUP_CLASS] } });
  for (const name of world.controllers) world.startNode(name);
  await world.sim.run(world.sim.now + 90_000);
  assert.deepEqual(world.violations, []);
  const groups = world.users.open().filter(({ spec }) => world.isGroup(spec.id));
  assert.equal(groups.length, 4);
  for (const { spec } of groups) assert.ok(world.groups.serves(spec.id), spec.id);
});
