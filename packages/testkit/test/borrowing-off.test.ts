// Borrowing that is switched off has no effect: a whole day has the same messages and requests as without the setting,
// and has no keys or messages of borrowing.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { holdRecord, KEYS, LEADERSHIP } from '@gingerlock/wire';
import { type Fault, runScenario, World } from '../src/index';

const FAULTS: readonly { readonly at: number; readonly fault: Fault }[] = [
  { at: 5000, fault: { kind: 'batch wave', team: 1, tasks: 40, estimateS: 15 } },
  { at: 12_000, fault: { kind: 'surge', team: 0, replicas: 8, everyMs: 300, forMs: 20_000 } },
  { at: 16_000, fault: { kind: 'crash', nodes: [-1], backMs: 3000 } },
];

/** Returns all messages and requests that were sent on one day, in order, with the kinds of messages and keys. */
async function traceOf(features: unknown): Promise<{ trace: string[]; kinds: Set<string>; keys: string[] }> {
  const trace: string[] = [];
  const kinds = new Set<string>();
  const keys = new Set<string>();
  const world = new World({
    seed: 71,
    machines: 6,
    capacity: 2,
    gpusMax: 20,
    ...(features === undefined ? {} : { features }),
    falsify: (message) => {
      kinds.add(message.kind);
      trace.push(`${message.kind} ${JSON.stringify(message)}`);
      return message;
    },
  });
  world.network.onSent = (from, addr, path, body) => trace.push(`${from} ${addr} ${path} ${body.toString('hex')}`);
  world.state.onStored = (key) => keys.add(key.split('/').slice(0, 2).join('/'));
  await runScenario(world, { seed: 71, forMs: 90_000, faults: FAULTS });
  const leadershipHold = holdRecord.read(world.state.data.get(KEYS.hold(LEADERSHIP))!.value);
  assert.equal(leadershipHold.takesClaimLists, undefined);
  return { trace, kinds, keys: [...keys].sort() };
}

test('a day with borrowing switched off is identical, byte for byte, to a day without the setting', async () => {
  const absent = await traceOf(undefined);
  const off = await traceOf({ borrowing: { enabled: false } });
  assert.ok(absent.trace.length > 1000);
  assert.deepEqual(off.trace, absent.trace);
  for (const kind of ['ClaimList', 'PartitionStatusFragment']) assert.ok(!absent.kinds.has(kind), kind);
  assert.deepEqual(absent.keys, ['g/f', 'g/hold', 'g/j', 'g/meta', 'g/own', 'g/r', 'g/term', 'g/timed', 'g/types']);
});

test('with borrowing off, stored reclaim records are not changed, readable or not', async () => {
  const errors: string[] = [];
  const log = {
    error: (detail: object, message: string) => errors.push(`${message} ${JSON.stringify(detail)}`),
    info: () => undefined,
    debug: () => undefined,
  };
  const world = new World({ seed: 72, log });
  const record = { m: 'm-000001', j: 'j-000900', t: [0], v: [['j-000901/0', 7]], at: 0, w: 'p' };
  world.state.put('g/b/0/1-1', record);
  world.state.put('g/b/0/1-2', { m: 5 });
  await runScenario(world, { seed: 72, forMs: 60_000, faults: [] });
  assert.deepEqual(world.violations, []);
  assert.deepEqual(world.state.data.get('g/b/0/1-1')!.value, record);
  assert.deepEqual(world.state.data.get('g/b/0/1-2')!.value, { m: 5 });
  assert.ok(errors.length > 0 && errors.every((line) => line.startsWith('unreadable record {"key":"g/b/0/1-2"')));
});
