import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SILENT } from '../src/controller/log';
import { RefusalLog } from '../src/controller/refusal-log';

// Guards against a flood of malformed messages that becomes a flood of log lines, or hides those of other senders.
test('a flood of malformed messages on one path gets few lines, and other paths keep theirs', () => {
  const lines: Record<string, unknown>[] = [];
  let now = 0;
  const info = (fields: object): void => void lines.push({ ...fields });
  const refusals = new RefusalLog({ ...SILENT, info }, { now: () => now });
  const flood = { path: '/submissions', from: '10.0.0.9', bytes: 10, reason: 'truncated' };
  for (; now < 60_000; now++) refusals.malformed(flood);
  assert.ok(lines.length >= 6 && lines.length <= 60, `${lines.length} lines`);
  assert.deepEqual(lines[0], flood);
  refusals.tooLarge({ ...flood, path: '/checkin' });
  assert.deepEqual(lines.at(-1), { path: '/checkin', from: '10.0.0.9', bytes: 10 });
  now += 60_000;
  refusals.malformed(flood);
  const omitted = lines.reduce((sum, line) => sum + Number(line.omitted ?? 0), 0);
  assert.equal(omitted + lines.length - 1, 60_001, 'every message has a line or is counted');
});
