// Maps the messages of the workers' API (PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers") to
// the names that the code uses.
import { Type } from '@sinclair/typebox';
import { compileValidator } from './validator';
import { decodeMap, encode, integer, MalformedMessageError } from './codec';
import { isJobId } from './users';

/** The state of a task on its machine. fetching: it waits for its image; saving: it saves while being stopped. */
export type TaskState = 'fetching' | 'running' | 'saving' | 'exited';
/**
 * Why a task has ended or was not started. `unrecognised`: the worker gave no cause, or one that PROTOCOL does not
 * define.
 */
export type ExitCause = 'done' | 'stopped' | 'error' | 'no_room' | 'busy' | 'unknown' | 'unrecognised';

/** A task as reported in a heartbeat. */
export interface ReportedTask {
  /** The name of the task, `JOB/INDEX`. */
  readonly task: string;
  readonly attempt: number;
  readonly state: TaskState;
  /** Null unless the task has exited. */
  readonly cause: ExitCause | null;
  /** Whether the task saved its progress when it was stopped. */
  readonly saved: boolean;
}

/** A heartbeat of a worker, with the status of its machine. */
export interface Heartbeat {
  readonly machine: string;
  /** Address on which the worker accepts direct commands, `HOST:PORT`. */
  readonly addr: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Starts at 1 and increases each time the worker's lease expires. */
  readonly agentEpoch: number;
  /** Increases with every message of the worker. Messages are ordered by epoch, then by this number. */
  readonly sequenceNumber: number;
  /** The highest fencing token that the worker has seen. */
  readonly fencingToken: number;
  /** Seconds until the cloud evicts the machine; null: no eviction notice. */
  readonly noticeS: number | null;
  /** All tasks on the machine, including exited tasks that were not forgotten yet. */
  readonly tasks: readonly ReportedTask[];
}

/**
 * A command to a worker. `graceS`: seconds that the task has for saving before it is ended. `forget` removes an exited
 * task from the heartbeats.
 */
export type WorkerCommand =
  | { readonly op: 'start'; readonly task: string; readonly attempt: number }
  | { readonly op: 'stop'; readonly task: string; readonly attempt: number; readonly graceS: number }
  | { readonly op: 'forget'; readonly task: string; readonly attempt: number };

/** The names that the code uses, by wire name. */
const STATE_BY_WIRE_NAME: Record<string, TaskState> = {
  fetching: 'fetching',
  running: 'running',
  flushing: 'saving',
  exited: 'exited',
};
const CAUSE_BY_WIRE_NAME: Record<string, ExitCause> = {
  done: 'done',
  halted: 'stopped',
  error: 'error',
  full: 'no_room',
  in_use: 'busy',
  no_such: 'unknown',
};
/** The wire names, by the name that the code uses. */
const OP_WIRE_NAMES = { start: 'start', stop: 'halt', forget: 'forget' } as const;

/** Returns the wire name of a value. */
function wireNameOf<V extends string>(names: Record<string, V>, value: V): string {
  return Object.keys(names).find((name) => names[name] === value)!;
}

/** An integer below 2^64 (PROTOCOL), which a number holds rounded. */
const Count = Type.Integer({ minimum: 0, maximum: 2 ** 64 });

/** A count as the code keeps it: exact, so that it stays the same when it is passed on. */
function exactCount(count: number): number {
  return Math.min(count, Number.MAX_SAFE_INTEGER);
}

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

/** Decodes a heartbeat. Throws a `MalformedMessageError` if it is invalid. */
export function decodeHeartbeat(body: Uint8Array): Heartbeat {
  const map = checkHeartbeat(decodeMap(body));
  return {
    machine: map.rig,
    addr: map.addr,
    type: map.breed,
    zone: map.yard,
    spot: map.borrowed,
    agentEpoch: exactCount(map.shift),
    sequenceNumber: exactCount(map.tally),
    fencingToken: exactCount(map.baton),
    noticeS: map.recall_s ?? null,
    tasks: map.parcels.map((parcel, index) => {
      const state = STATE_BY_WIRE_NAME[parcel.status];
      // An unknown state proves nothing about the task; in particular, not that it is gone.
      if (state === undefined) throw new MalformedMessageError(`parcels.${index}.status`, 'unknown');
      return {
        task: parcel.parcel,
        attempt: exactCount(parcel.try),
        state,
        cause: state === 'exited' ? (CAUSE_BY_WIRE_NAME[parcel.cause ?? ''] ?? 'unrecognised') : null,
        saved: parcel.stored ?? false,
      };
    }),
  };
}

/** Encodes a heartbeat, or a worker's response to direct commands. */
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
      status: wireNameOf(STATE_BY_WIRE_NAME, state),
      ...(cause === null ? {} : { cause: wireNameOf(CAUSE_BY_WIRE_NAME, cause) }),
      ...(cause === 'stopped' ? { stored: saved } : {}),
    })),
  });
}

function commandMaps(commands: readonly WorkerCommand[]): unknown[] {
  return commands.map((command) => ({
    verb: OP_WIRE_NAMES[command.op],
    parcel: command.task,
    try: integer(command.attempt),
    ...(command.op === 'stop' ? { leeway_s: command.graceS } : {}),
  }));
}

/** Encodes the response to a heartbeat. */
export function encodeHeartbeatAnswer(fencingToken: number, commands: readonly WorkerCommand[]): Buffer {
  return encode({ baton: integer(fencingToken), orders: commandMaps(commands) });
}

/** Encodes the body of a direct `/commands` request. */
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
 * Decodes a response to a heartbeat or a direct `/commands` request. Only the latter contains the agent epoch. Throws a
 * `MalformedMessageError` if the body is invalid.
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

/** Encodes a response with status 421, which names the controller to send heartbeats to; null if it is unknown. */
export function encodeRedirect(controller: string | null): Buffer {
  return encode(controller === null ? {} : { foreman: controller });
}

/** Returns the name of a task. */
export function taskName(job: string, index: number): string {
  return `${job}/${index}`;
}

/** Splits the name of a task into job and index. Returns null if it is not a valid task name. */
export function parseTaskName(name: string): { job: string; index: number } | null {
  const slash = name.indexOf('/');
  const digits = name.slice(slash + 1);
  if (slash < 0 || !isJobId(name.slice(0, slash)) || !/^(0|[1-9][0-9]{0,5})$/.test(digits)) return null;
  return { job: name.slice(0, slash), index: Number(digits) };
}

/** Reads the controller that a response with status 421 names; null if it names none. */
export function decodeRedirect(body: Uint8Array): string | null {
  const { foreman } = decodeMap(body);
  return typeof foreman === 'string' ? foreman : null;
}
