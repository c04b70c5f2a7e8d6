// Counts in reports may be as large as PROTOCOL allows, although numbers hold them exactly only up to 2^53.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SILENT } from '@gingerlock/daemon';
import {
  decode,
  decodeHeartbeat,
  encode,
  encodeHeartbeat,
  type Heartbeat,
  MalformedMessageError,
} from '@gingerlock/wire';
import { World } from '../src/index';

const REPORT: Heartbeat = {
  machine: 'm-000900',
  addr: 'm-000900:9000',
  type: 'box',
  zone: 'north',
  spot: false,
  agentEpoch: 1,
  sequenceNumber: 1,
  fencingToken: 0,
  noticeS: null,
  tasks: [],
};

// Guards against a single report that stops its owner's ticks, which end with an exception from then on.
test('a report with a session number beyond 2^53 does not stop the ticks of its owner', async () => {
  const errors: string[] = [];
  const error = (_detail: object, message: string): void => void errors.push(message);
  const world = new World({ seed: 3, log: { ...SILENT, error } });
  await world.sim.run(20_000);
  const body = encodeHeartbeat({ ...REPORT, agentEpoch: 2 ** 60, sequenceNumber: 2 ** 63 });
  const statuses = world.nodes.map(({ controller }) => controller!.checkin(body).then(({ status }) => status));
  await world.sim.run(world.sim.now + 20_000);
  assert.deepEqual((await Promise.all(statuses)).sort(), [200, 421, 421]);
  assert.deepEqual(errors, []);
});

test('counts up to 2^64 are read, and larger ones are refused', () => {
  const fields = decode(encodeHeartbeat(REPORT)) as Record<string, unknown>;
  const read = (count: number | bigint): number => decodeHeartbeat(encode({ ...fields, tally: count })).sequenceNumber;
  assert.equal(read(BigInt(Number.MAX_SAFE_INTEGER)), Number.MAX_SAFE_INTEGER);
  assert.equal(read(2n ** 64n - 1n), Number.MAX_SAFE_INTEGER);
  assert.throws(() => read(1e300), MalformedMessageError);
});
