// What fits into one message between a controller and a worker. PROTOCOL limits each message to 64 KiB of JSON, and a
// report lists all tasks on its machine: how many tasks a machine may hold depends on what its worker can report,
// whatever else the tasks take.
import { Buffer } from 'node:buffer';
import { MAX_BODY_BYTES } from './codec';
import { MAX_JOB_ID_DIGITS, MAX_TASKS } from './users';
import type { WorkerCommand } from './workers';

/** The longest name of a machine, a type or a zone in a report, in JSON: one character may take six bytes there. */
const LONGEST_NAME = 'n'.repeat(128 * '\\u0000'.length);

const LONGEST_ADDRESS = 'a'.repeat(64 * '\\u0000'.length);

const LONGEST_COUNT = Number.MAX_SAFE_INTEGER;

const LONGEST_NUMBER = -Number.MAX_VALUE;

/** A report without tasks, each of its fields as long as it can be. */
const LONGEST_EMPTY_REPORT = {
  rig: LONGEST_NAME,
  addr: LONGEST_ADDRESS,
  breed: LONGEST_NAME,
  yard: LONGEST_NAME,
  borrowed: false,
  shift: LONGEST_COUNT,
  tally: LONGEST_COUNT,
  baton: LONGEST_COUNT,
  recall_s: LONGEST_NUMBER,
  parcels: [],
};

/** The entry of a task without a name, in the state that takes the most bytes: it has to fit through a task's life. */
const LONGEST_REPORTED_TASK = { parcel: '', try: LONGEST_COUNT, status: 'exited', cause: 'no_such', stored: false };

/** A message without commands: a direct request has one field more than the answer to a report. */
const LONGEST_EMPTY_REQUEST = { baton: LONGEST_COUNT, shift: LONGEST_COUNT, orders: [] };

/** A command for a task without a name. */
const LONGEST_COMMAND = { verb: 'halt', parcel: '', try: LONGEST_COUNT, leeway_s: LONGEST_NUMBER };

/** The size of a value in JSON with the comma after it. */
function jsonBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value)) + 1;
}

const REPORTED_TASK_BYTES = jsonBytes(LONGEST_REPORTED_TASK);
const COMMAND_BYTES = jsonBytes(LONGEST_COMMAND);

/** The bytes of a report that all of its tasks together may take. */
export const MAX_REPORTED_TASKS_BYTES = MAX_BODY_BYTES - jsonBytes(LONGEST_EMPTY_REPORT);

/** The bytes of a message that all of its commands together may take. */
const MAX_COMMANDS_BYTES = MAX_BODY_BYTES - jsonBytes(LONGEST_EMPTY_REQUEST);

/** The most bytes that a report takes for a task of this name, whatever the state and the attempt. */
export function reportedTaskBytes(taskName: string): number {
  return REPORTED_TASK_BYTES + taskName.length;
}

/** The most bytes that a report needs for any task. */
export const MAX_REPORTED_TASK_BYTES = reportedTaskBytes(`j-${'9'.repeat(MAX_JOB_ID_DIGITS)}/${MAX_TASKS - 1}`);

/** Sizes of tasks in a report are rounded up to a multiple of this, so that nearly all jobs have the same. */
const SIZE_STEP_BYTES = 8;

/** The bytes that a report needs for a task of the job, whatever its index, rounded up. */
export function reportedTaskBytesOf(job: string): number {
  const bytes = reportedTaskBytes(`${job}/${MAX_TASKS - 1}`);
  return Math.ceil(bytes / SIZE_STEP_BYTES) * SIZE_STEP_BYTES;
}

/** Splits commands, in their order, into lists that each fit into one message. */
export function splitCommands(commands: readonly WorkerCommand[]): WorkerCommand[][] {
  const messages: WorkerCommand[][] = [];
  let remainingBytes = 0;
  for (const command of commands) {
    const bytes = COMMAND_BYTES + command.task.length;
    if (bytes > remainingBytes) {
      messages.push([]);
      remainingBytes = MAX_COMMANDS_BYTES;
    }
    messages.at(-1)!.push(command);
    remainingBytes -= bytes;
  }
  return messages;
}
