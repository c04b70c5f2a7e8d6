import { Type } from '@sinclair/typebox';
import { checker } from './check';
import { decodeMap, encode, integer, MalformedMessageError } from './codec';
import { isJobId } from './users';

export type TaskState = 'fetching' | 'running' | 'saving' | 'exited';
/** `unrecognised`: the worker gave none, or one that the protocol does not name. */
export type ExitCause = 'done' | 'stopped' | 'error' | 'no_room' | 'busy' | 'unknown' | 'unrecognised';

export interface ReportedTask {
  /** `JOB/INDEX`, as the worker names it. */
  readonly task: string;
  readonly attempt: number;
  readonly state: TaskState;
  readonly cause: ExitCause | null;
  readonly saved: boolean;
}

export interface Heartbeat {
  readonly machine: string;
  readonly addr: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly agentEpoch: number;
  readonly sequenceNumber: number;
  readonly fencingToken: number;
  readonly noticeS: number | null;
  readonly tasks: readonly ReportedTask[];
}

export type WorkerCommand =
  | { readonly op: 'start'; readonly task: string; readonly attempt: number }
  | { readonly op: 'stop'; readonly task: string; readonly attempt: number; readonly graceS: number }
  | { readonly op: 'forget'; readonly task: string; readonly attempt: number };

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
const OP_WORDS = { start: 'start', stop: 'halt', forget: 'forget' } as const;

function wordOf<V extends string>(names: Record<string, V>, value: V): string {
  return Object.keys(names).find((word) => names[word] === value)!;
}

const Count = Type.Integer({ minimum: 0 });

const checkHeartbeat = checker(
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

export function decodeHeartbeat(body: Uint8Array): Heartbeat {
  const r = checkHeartbeat(decodeMap(body));
  return {
    machine: r.rig,
    addr: r.addr,
    type: r.breed,
    zone: r.yard,
    spot: r.borrowed,
    agentEpoch: r.shift,
    sequenceNumber: r.tally,
    fencingToken: r.baton,
    noticeS: r.recall_s ?? null,
    tasks: r.parcels.map((p, i) => {
      const state = STATE_NAMES[p.status];
      // An unknown state is not evidence of anything, least of all that the task is gone.
      if (state === undefined) throw new MalformedMessageError(`parcels.${i}.status`, 'unknown');
      return {
        task: p.parcel,
        attempt: p.try,
        state,
        cause: state === 'exited' ? (CAUSE_NAMES[p.cause ?? ''] ?? 'unrecognised') : null,
        saved: p.stored ?? false,
      };
    }),
  };
}

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
    parcels: heartbeat.tasks.map((t) => ({
      parcel: t.task,
      try: integer(t.attempt),
      status: wordOf(STATE_NAMES, t.state),
      ...(t.cause === null ? {} : { cause: wordOf(CAUSE_NAMES, t.cause) }),
      ...(t.cause === 'stopped' ? { stored: t.saved } : {}),
    })),
  });
}

function commandMaps(commands: readonly WorkerCommand[]): unknown[] {
  return commands.map((c) => ({
    verb: OP_WORDS[c.op],
    parcel: c.task,
    try: integer(c.attempt),
    ...(c.op === 'stop' ? { leeway_s: c.graceS } : {}),
  }));
}

/** The answer to a report. */
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

const checkCommands = checker(
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

/** Reads an answer to a report, or a direct `/commands` request, which names the session too. */
export function decodeCommands(body: Uint8Array): {
  fencingToken: number;
  agentEpoch: number | null;
  commands: WorkerCommand[];
} {
  const map = checkCommands(decodeMap(body));
  return {
    fencingToken: map.baton,
    agentEpoch: map.shift ?? null,
    commands: map.orders.map((o) =>
      o.verb === 'halt'
        ? { op: 'stop', task: o.parcel, attempt: o.try, graceS: o.leeway_s ?? 0 }
        : { op: o.verb, task: o.parcel, attempt: o.try },
    ),
  };
}

/** The body of a 421: which controller to report to, if that is known. */
export function encodeRedirect(controller: string | null): Buffer {
  return encode(controller === null ? {} : { foreman: controller });
}

export function taskName(job: string, index: number): string {
  return `${job}/${index}`;
}

/** Splits a task's name; null if it is none of ours. */
export function parseTaskName(name: string): { job: string; index: number } | null {
  const slash = name.indexOf('/');
  const digits = name.slice(slash + 1);
  if (slash < 0 || !isJobId(name.slice(0, slash)) || !/^(0|[1-9][0-9]{0,5})$/.test(digits)) return null;
  return { job: name.slice(0, slash), index: Number(digits) };
}

/** Which controller a 421 names, or null. */
export function decodeRedirect(body: Uint8Array): string | null {
  const { foreman } = decodeMap(body);
  return typeof foreman === 'string' ? foreman : null;
}
