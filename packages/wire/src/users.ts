// Maps the messages of the users' API (PROTOCOL, "Users -> controller nodes") to the names that the code uses.
import { Type } from '@sinclair/typebox';
import { compileValidator } from './validator';
import { decodeMap, encode, MalformedMessageError } from './codec';

/** The priority classes, the highest first. A numeric priority is an index into this list. */
export const PRIORITIES = ['production', 'high', 'normal', 'low'] as const;
/** One of `PRIORITIES`. */
export type Priority = (typeof PRIORITIES)[number];
/** array: independent tasks that run to completion. service: replicas that run until the job is cancelled. */
export type JobKind = 'array' | 'service';
/** The status of a job as reported to users. */
export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';

/** Maximum number of tasks in a job (PROTOCOL). */
export const MAX_TASKS = 100_000;

/** A job as submitted. Resource amounts are per task. */
export interface JobSpec {
  readonly id: string;
  readonly jobClass: string;
  readonly team: string;
  readonly kind: JobKind;
  readonly priority: Priority;
  /** The number of tasks. Their indexes start at 0. */
  readonly tasks: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly image: string;
  readonly imageGb: number;
  /** The allowed machine types; null: any type. */
  readonly types: readonly string[] | null;
  /** The only allowed zone; null: any zone. */
  readonly zone: string | null;
  /** Whether all tasks must be in the same zone. */
  readonly oneZone: boolean;
  /** Whether at most half of the tasks, rounded up, may be in the same zone. */
  readonly spread: boolean;
  /** Whether spot machines are allowed. */
  readonly spot: boolean;
  /** The user's estimate of a task's run time in seconds, without the image fetch; often wrong by half. 0: service. */
  readonly estimateS: number;
  /** Progress in seconds after which a running task saves a checkpoint; 0: it saves none. */
  readonly checkpointS: number;
  /** Time that a task needs to save when it is stopped, in seconds. */
  readonly saveS: number;
  /** Time from submission within which the job should be complete, in seconds; null: no deadline. */
  readonly deadlineS: number | null;
  /** Ids of the jobs that must be done before any task of this job starts, without duplicates. */
  readonly awaits: readonly string[];
}

/** The names that the code uses, by wire name. */
const PRIORITY_BY_WIRE_NAME: Record<string, Priority> = {
  production: 'production',
  high: 'high',
  standard: 'normal',
  low: 'low',
};
/** The wire names, by the name that the code uses. */
const PRIORITY_WIRE_NAMES: Record<Priority, string> = {
  production: 'production',
  high: 'high',
  normal: 'standard',
  low: 'low',
};
const KIND_BY_WIRE_NAME: Record<string, JobKind> = { sweep: 'array', daemon: 'service' };
const KIND_WIRE_NAMES: Record<JobKind, string> = { array: 'sweep', service: 'daemon' };
const STATUS_WIRE_NAMES: Record<JobStatus, string> = {
  queued: 'pending',
  running: 'running',
  done: 'done',
  cancelled: 'aborted',
};

/** Maximum number of digits in a job id. */
export const MAX_JOB_ID_DIGITS = 32;

const JOB_ID = new RegExp(`^j-[0-9]{1,${MAX_JOB_ID_DIGITS}}$`);

/** Whether the string has the form of a job id, `j-` followed by digits. */
export function isJobId(id: string): boolean {
  return JOB_ID.test(id);
}

const Amount = Type.Number({ minimum: 0, maximum: 1e12 });
const Name = Type.String({ minLength: 1, maxLength: 64 });

const checkSubmission = compileValidator(
  Type.Object({
    name_id: Type.String({ pattern: JOB_ID.source }),
    lane: Name,
    crew: Name,
    shape: Type.Union([Type.Literal('sweep'), Type.Literal('daemon')]),
    urgency: Type.Union([
      Type.Literal('production'),
      Type.Literal('high'),
      Type.Literal('standard'),
      Type.Literal('low'),
    ]),
    parcels: Type.Integer({ minimum: 1, maximum: MAX_TASKS }),
    cores: Amount,
    accelerators: Amount,
    memory_gb: Amount,
    crate: Name,
    image_gb: Amount,
    breeds: Type.Optional(Type.Union([Type.Null(), Type.Array(Name, { maxItems: 32 })])),
    yard: Type.Optional(Type.Union([Type.Null(), Name])),
    same_place: Type.Boolean(),
    scatter: Type.Boolean(),
    borrowed: Type.Boolean(),
    guess_s: Amount,
    stash_every_s: Amount,
    stash_s: Amount,
    due_s: Type.Optional(Type.Union([Type.Null(), Amount])),
    awaits: Type.Optional(Type.Union([Type.Null(), Type.Array(Type.String({ pattern: JOB_ID.source }))])),
  }),
);

/**
 * Reads a submission as posted by users or stored in the key-value store. Throws a `MalformedMessageError` if it is
 * invalid.
 */
export function jobSpecOf(map: unknown): JobSpec {
  const submission = checkSubmission(map);
  return {
    id: submission.name_id,
    jobClass: submission.lane,
    team: submission.crew,
    kind: KIND_BY_WIRE_NAME[submission.shape]!,
    priority: PRIORITY_BY_WIRE_NAME[submission.urgency]!,
    tasks: submission.parcels,
    cpus: submission.cores,
    gpus: submission.accelerators,
    memoryGb: submission.memory_gb,
    image: submission.crate,
    imageGb: submission.image_gb,
    types: submission.breeds ?? null,
    zone: submission.yard ?? null,
    oneZone: submission.same_place,
    spread: submission.scatter,
    spot: submission.borrowed,
    estimateS: submission.guess_s,
    checkpointS: submission.stash_every_s,
    saveS: submission.stash_s,
    deadlineS: submission.due_s ?? null,
    awaits: [...new Set(submission.awaits ?? [])],
  };
}

/** Returns the body of a submission, before its encoding; `jobSpecOf` reads it. */
export function submissionMap(job: JobSpec): Record<string, unknown> {
  return {
    name_id: job.id,
    lane: job.jobClass,
    crew: job.team,
    shape: KIND_WIRE_NAMES[job.kind],
    urgency: PRIORITY_WIRE_NAMES[job.priority],
    parcels: job.tasks,
    cores: job.cpus,
    accelerators: job.gpus,
    memory_gb: job.memoryGb,
    crate: job.image,
    image_gb: job.imageGb,
    breeds: job.types,
    yard: job.zone,
    same_place: job.oneZone,
    scatter: job.spread,
    borrowed: job.spot,
    guess_s: job.estimateS,
    stash_every_s: job.checkpointS,
    stash_s: job.saveS,
    due_s: job.deadlineS,
    // Omitted when empty, so that jobs without dependencies are stored as by versions without `awaits`.
    ...(job.awaits.length > 0 ? { awaits: job.awaits } : {}),
  };
}

/** Decodes the body of a submission. Throws a `MalformedMessageError` if it is invalid. */
export function decodeSubmission(body: Uint8Array): JobSpec {
  return jobSpecOf(decodeMap(body));
}

/** Encodes the body of a submission. */
export function encodeSubmission(job: JobSpec): Buffer {
  return encode(submissionMap(job));
}

/** The state of a job as reported to users. */
export interface JobState {
  readonly id: string;
  readonly status: JobStatus;
  /** Number of done tasks, for display. */
  readonly done?: number;
  /** Number of running tasks, for display. */
  readonly running?: number;
}

/** Encodes the body of a response about a job. */
export function encodeJobState(state: JobState): Buffer {
  const map: Record<string, unknown> = { name_id: state.id, status: STATUS_WIRE_NAMES[state.status] };
  if (state.done !== undefined) map.done = state.done;
  if (state.running !== undefined) map.running = state.running;
  return encode(map);
}

/** Decodes the body of a response about a job. Throws a `MalformedMessageError` if it is invalid. */
export function decodeJobState(body: Uint8Array): JobState {
  const map = decodeMap(body);
  const status = (Object.keys(STATUS_WIRE_NAMES) as JobStatus[]).find((name) => STATUS_WIRE_NAMES[name] === map.status);
  if (status === undefined) throw new MalformedMessageError('status', 'unknown');
  if (typeof map.name_id !== 'string') throw new MalformedMessageError('name_id', 'not text');
  return {
    id: map.name_id,
    status,
    ...(typeof map.done === 'number' ? { done: map.done } : {}),
    ...(typeof map.running === 'number' ? { running: map.running } : {}),
  };
}

/** Encodes the body of an error response. Users and workers see the reason. */
export function encodeError(reason: string): Buffer {
  return encode({ error: reason });
}
