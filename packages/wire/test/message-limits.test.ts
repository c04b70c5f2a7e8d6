// The sizes by which tasks are counted are never below those of real messages.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  decode,
  encodeDirectCommands,
  encodeHeartbeat,
  type ExitCause,
  MAX_BODY_BYTES,
  MAX_REPORTED_TASKS_BYTES,
  reportedTaskBytes,
  reportedTaskBytesOf,
  splitCommands,
  type TaskState,
  type WorkerCommand,
} from '../src/index';

const count = fc.integer({ min: 0, max: Number.MAX_SAFE_INTEGER });
const jobId = fc.integer({ min: 1, max: 32 }).map((digits) => `j-${'7'.repeat(digits)}`);
const taskName = fc.tuple(jobId, fc.nat(99_999)).map(([job, index]) => `${job}/${index}`);
const name = fc.string({ minLength: 1, maxLength: 128, unit: 'binary' });
const state = fc.constantFrom<TaskState>('fetching', 'running', 'saving', 'exited');
const cause = fc.constantFrom<ExitCause>('done', 'stopped', 'error', 'no_room', 'busy', 'unknown');
const command: fc.Arbitrary<WorkerCommand> = fc
  .record({
    op: fc.constantFrom('start', 'stop', 'forget'),
    task: taskName,
    attempt: count,
    graceS: fc.double({ noNaN: true }),
  })
  .map(({ op, task, attempt, graceS }) => (op === 'stop' ? { op, task, attempt, graceS } : { op: op, task, attempt }));

function jsonBytes(body: Uint8Array): number {
  return Buffer.byteLength(JSON.stringify(decode(body)));
}

// Guards against reports that outgrow 64 KiB as their tasks change from fetching to running, saving and exited.
test('a report whose tasks take no more than the limit fits into a message, in any state', () => {
  const task = fc.record({ task: taskName, attempt: count, state, cause, saved: fc.boolean() });
  fc.assert(
    fc.property(
      fc.record({ machine: name, addr: fc.string({ maxLength: 64 }), type: name, zone: name, sequenceNumber: count }),
      fc.array(task, { minLength: 900, maxLength: 900, size: 'max' }),
      fc.double({ noNaN: true }),
      (fields, drawn, noticeS) => {
        let bytes = 0;
        const tasks = drawn
          .map((t) => (t.state === 'exited' ? t : { ...t, cause: null }))
          .filter((t) => (bytes += reportedTaskBytes(t.task)) <= MAX_REPORTED_TASKS_BYTES);
        assert.ok(tasks.length > 300 && tasks.length < 900);
        const numbers = { agentEpoch: Number.MAX_SAFE_INTEGER, fencingToken: Number.MAX_SAFE_INTEGER };
        const report = encodeHeartbeat({ ...fields, ...numbers, spot: false, noticeS, tasks });
        assert.ok(jsonBytes(report) <= MAX_BODY_BYTES);
        for (const t of tasks) assert.ok(reportedTaskBytes(t.task) <= reportedTaskBytesOf(t.task.split('/')[0]!));
      },
    ),
    { seed: 391, numRuns: 30 },
  );
});

// Guards against answers and direct requests of more than 64 KiB, which workers refuse.
test('commands are split in their order into messages that each fit, and none is lost', () => {
  fc.assert(
    fc.property(fc.array(command, { maxLength: 3000, size: 'max' }), (commands) => {
      const messages = splitCommands(commands);
      assert.deepEqual(messages.flat(), commands);
      for (const message of messages) {
        const { MAX_SAFE_INTEGER: longest } = Number;
        assert.ok(jsonBytes(encodeDirectCommands(longest, longest, message)) <= MAX_BODY_BYTES);
      }
      assert.ok(messages.length <= Math.ceil(commands.length / 400) + 1);
    }),
    { seed: 391, numRuns: 30 },
  );
});
