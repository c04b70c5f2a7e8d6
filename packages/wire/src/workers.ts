// The interface of workers (PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers"): its names,
// mapped to the code's.
import { Type } from '@sinclair/typebox';
import { compileValidator } from './validator';
import { decodeMap, encode, integer, MalformedMessageError } from './codec';
import { isJobId } from './users';

/** The state of a task on its machine. fetching: it waits for its image; saving: it is being stopped and saves. */
export type TaskState = 'fetching' | 'running' | 'saving' | 'exited';
/**
 * Why a task has ended or was not started; `unrecognised`: the worker gave no cause, or one that PROTOCOL does not
 * name.
 */
export type ExitCause = 'done' | 'stopped' | 'error' | 'no_room' | 'busy' | 'unknown' | 'unrecognised';

/** A task as a heartbeat reports it. */
export interface ReportedTask {
  /** Its name, `JOB/INDEX`. */
  readonly task: string;
  readonly attempt: number;
  readonly state: TaskState;
  /** Null unless it has exited. */
  readonly cause: ExitCause | null;
  /** Whether its progress was saved when it was stopped. */
  readonly saved: boolean;
}

/** A heartbeat of a worker, with the status of its machine. */
export interface Heartbeat {
  readonly machine: string;
  /** Where the worker takes direct commands, `HOST:PORT`. */
  readonly addr: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Starts at 1 and increases each time the worker's lease expires. */
  readonly agentEpoch: number;
  /** Increases with every message of the worker: the one with the larger epoch and number is the newer one. */
  readonly sequenceNumber: number;
  /** The highest fencing token that the worker has seen. */
  readonly fencingToken: number;
  /** Seconds until the cloud takes the machine away; null: there is no notice. */
  readonly noticeS: number | null;
  /** All tasks on the machine, including exited ones that were not forgotten yet. */
  readonly tasks: readonly ReportedTask[];
}

/**
 * A command to a worker. `graceS`: time to save before the task is ended. `forget` removes an exited task from the
 * heartbeats.
 */
export type WorkerCommand =
  | { readonly op: 'start'; readonly task: string; readonly attempt: number }
  | { readonly op: 'stop'; readonly task: string; readonly attempt: number; readonly graceS: number }
  | { readonly op: 'forget'; readonly task: string; readonly attempt: number };

/** The code's names by wire name. */
const STATE_NAMES: Record<string, TaskState> = {
  fetching: 'fetching',
  running: 'running',
  flushing: 'saving',
  exited: 'exited',
};
const CAUSE_NAMES: Record<string, ExitCause> = {
  done: 'done',
  halted: 'stopped',
  error: 'error',
  full: 'no_room',
  in_use: 'busy',
  no_such: 'unknown',
};
/** The wire names by the code's name. */
const OP_WORDS = { start: 'start', stop: 'halt', forget: 'forget' } as const;

/** The wire name of a value. */
function wireNameOf<V extends string>(names: Record<string, V>, value: V): string {
  return Object.keys(names).find((name) => names[name] === value)!;
}

const Count = Type.Integer({ minimum: 0 });

const checkHeartbeat = compileValidator(
  Type.Object({
    rig: Type.String({ minLength: 1, maxLength: 128, pattern: '^[!-~]+$' }),
    addr: Type.String({ maxLength: 64 }),
    breed: Type.String({ maxLength: 128 }),
    yard: Type.String({ maxLength: 128 }),
    borrowed: Type.Boolean(),
    shift: Count,
    tally: Count,
    baton: Count,
    recall_s: Type.Optional(Type.Union([Type.Null(), Type.Number()])),
    parcels: Type.Array(
      Type.Object({
        parcel: Type.String({ maxLength: 64 }),
        try: Count,
        status: Type.String(),
        cause: Type.Optional(Type.Union([Type.Null(), Type.String()])),
        stored: Type.Optional(Type.Union([Type.Null(), Type.Boolean()])),
      }),
    ),
  }),
);

/** Reads a heartbeat. Throws a `MalformedMessageError`. */
export function decodeHeartbeat(body: Uint8Array): Heartbeat {
  const map = checkHeartbeat(decodeMap(body));
  return {
    machine: map.rig,
    addr: map.addr,
    type: map.breed,
    zone: map.yard,
    spot: map.borrowed,
    agentEpoch: map.shift,
    sequenceNumber: map.tally,
    fencingToken: map.baton,
    noticeS: map.recall_s ?? null,
    tasks: map.parcels.map((parcel, index) => {
      const state = STATE_NAMES[parcel.status];
      // An unknown state is not evidence of anything, least of all that the task is gone.
      if (state === undefined) throw new MalformedMessageError(`parcels.${index}.status`, 'unknown');
      return {
        task: parcel.parcel,
        attempt: parcel.try,
        state,
        cause: state === 'exited' ? (CAUSE_NAMES[parcel.cause ?? ''] ?? 'unrecognised') : null,
        saved: parcel.stored ?? false,
      };
    }),
  };
}

/** The body of a heartbeat, and of a worker's response to direct commands. */
export function encodeHeartbeat(heartbeat: Heartbeat): Buffer {
  return encode({
    rig: heartbeat.machine,
    addr: heartbeat.addr,
    breed: heartbeat.type,
    yard: heartbeat.zone,
    borrowed: heartbeat.spot,
    shift: integer(heartbeat.agentEpoch),
    tally: integer(heartbeat.sequenceNumber),
    baton: integer(heartbeat.fencingToken),
    recall_s: heartbeat.noticeS,
    parcels: heartbeat.tasks.map(({ task, attempt, state, cause, saved }) => ({
      parcel: task,
      try: integer(attempt),
      status: wireNameOf(STATE_NAMES, state),
      ...(cause === null ? {} : { cause: wireNameOf(CAUSE_NAMES, cause) }),
      ...(cause === 'stopped' ? { stored: saved } : {}),
    })),
  });
}

function commandMaps(commands: readonly WorkerCommand[]): unknown[] {
  return commands.map((command) => ({
    verb: OP_WORDS[command.op],
    parcel: command.task,
    try: integer(command.attempt),
    ...(command.op === 'stop' ? { leeway_s: command.graceS } : {}),
  }));
}

/** The response to a heartbeat. */
export function encodeHeartbeatAnswer(fencingToken: number, commands: readonly WorkerCommand[]): Buffer {
  return encode({ baton: integer(fencingToken), orders: commandMaps(commands) });
}

/** The body of a direct `/commands` request. */
export function encodeDirectCommands(
  fencingToken: number,
  agentEpoch: number,
  commands: readonly WorkerCommand[],
): Buffer {
  return encode({ baton: integer(fencingToken), shift: integer(agentEpoch), orders: commandMaps(commands) });
}

const checkCommands = compileValidator(
  Type.Object({
    baton: Count,
    shift: Type.Optional(Count),
    orders: Type.Array(
      Type.Object({
        verb: Type.Union([Type.Literal('start'), Type.Literal('halt'), Type.Literal('forget')]),
        parcel: Type.String(),
        try: Count,
        leeway_s: Type.Optional(Type.Number()),
      }),
    ),
  }),
);

/**
 * Reads a response to a heartbeat, or a direct `/commands` request, which names the agent epoch too. Throws a
 * `MalformedMessageError`.
 */
export function decodeCommands(body: Uint8Array): {
  fencingToken: number;
  agentEpoch: number | null;
  commands: WorkerCommand[];
} {
  const map = checkCommands(decodeMap(body));
  return {
    fencingToken: map.baton,
    agentEpoch: map.shift ?? null,
    commands: map.orders.map((order) =>
      order.verb === 'halt'
        ? { op: 'stop', task: order.parcel, attempt: order.try, graceS: order.leeway_s ?? 0 }
        : { op: order.verb, task: order.parcel, attempt: order.try },
    ),
  };
}

/** The body of a response with status 421: the controller to send heartbeats to; null: it is not known. */
export function encodeRedirect(controller: string | null): Buffer {
  return encode(controller === null ? {} : { foreman: controller });
}

/** The name of a task. */
export function taskName(job: string, index: number): string {
  return `${job}/${index}`;
}

/** Splits the name of a task; null: it is not the name of one. */
export function parseTaskName(name: string): { job: string; index: number } | null {
  const slash = name.indexOf('/');
  const digits = name.slice(slash + 1);
  if (slash < 0 || !isJobId(name.slice(0, slash)) || !/^(0|[1-9][0-9]{0,5})$/.test(digits)) return null;
  return { job: name.slice(0, slash), index: Number(digits) };
}

/** The controller that a response with status 421 names; null: none. */
export function decodeRedirect(body: Uint8Array): string | null {
  const { foreman } = decodeMap(body);
  return typeof foreman === 'string' ? foreman : null;
}
