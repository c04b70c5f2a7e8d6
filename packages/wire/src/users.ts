// The interface of users (PROTOCOL, "Users -> controller nodes"): its names, mapped to the code's.
import { Type } from '@sinclair/typebox';
import { compileValidator } from './validator';
import { decodeMap, encode, MalformedMessageError } from './codec';

/** The priority classes, the highest first; a priority as a number is its index here. */
export const PRIORITIES = ['production', 'high', 'normal', 'low'] as const;
/** One of `PRIORITIES`. */
export type Priority = (typeof PRIORITIES)[number];
/** array: independent tasks that run to completion. service: replicas that run until the job is cancelled. */
export type JobKind = 'array' | 'service';
/** The status of a job as users see it. */
export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';

/** Most tasks of a job (PROTOCOL). */
export const MAX_TASKS = 100_000;

/** A job as it was submitted. Resources are those that each task takes of its machine. */
export interface JobSpec {
  readonly id: string;
  readonly jobClass: string;
  readonly team: string;
  readonly kind: JobKind;
  readonly priority: Priority;
  /** How many; they are numbered from 0. */
  readonly tasks: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly image: string;
  readonly imageGb: number;
  /** Allowed machine types; null: any. */
  readonly types: readonly string[] | null;
  /** The only allowed zone; null: any. */
  readonly zone: string | null;
  /** All tasks must be in the same zone. */
  readonly oneZone: boolean;
  /** At most half of the tasks, rounded up, may be in one zone. */
  readonly spread: boolean;
  /** Spot machines are allowed. */
  readonly spot: boolean;
  /** The user's estimate of a task's run time without the image fetch; often wrong by half. 0 for services. */
  readonly estimateS: number;
  /** Interval of progress after which a running task saves a checkpoint; 0: it never saves. */
  readonly checkpointS: number;
  /** Time that a task needs to save when it is stopped. */
  readonly saveS: number;
  /** When the job should be complete, from its submission; null: no deadline. */
  readonly deadlineS: number | null;
  /** Ids of the jobs that must be done before any task of this one starts, without repetitions. */
  readonly awaits: readonly string[];
}

/** The code's names by wire name. */
const PRIORITY_NAMES: Record<string, Priority> = {
  production: 'production',
  high: 'high',
  standard: 'normal',
  low: 'low',
};
/** The wire names by the code's name. */
const PRIORITY_WORDS: Record<Priority, string> = {
  production: 'production',
  high: 'high',
  normal: 'standard',
  low: 'low',
};
const KIND_NAMES: Record<string, JobKind> = { sweep: 'array', daemon: 'service' };
const KIND_WORDS: Record<JobKind, string> = { array: 'sweep', service: 'daemon' };
const STATUS_WORDS: Record<JobStatus, string> = {
  queued: 'pending',
  running: 'running',
  done: 'done',
  cancelled: 'aborted',
};

const JOB_ID = /^j-[0-9]{1,32}$/;

/** Whether the text has the form of a job's id, `j-` and digits. */
export function isJobId(id: string): boolean {
  return JOB_ID.test(id);
}

const Amount = Type.Number({ minimum: 0, maximum: 1e12 });
const Word = Type.String({ minLength: 1, maxLength: 64 });

const checkSubmission = compileValidator(
  Type.Object({
    name_id: Type.String({ pattern: JOB_ID.source }),
    lane: Word,
    crew: Word,
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
    crate: Word,
    image_gb: Amount,
    breeds: Type.Optional(Type.Union([Type.Null(), Type.Array(Word, { maxItems: 32 })])),
    yard: Type.Optional(Type.Union([Type.Null(), Word])),
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
 * Reads the map of a submission, as users post it and as the key-value store has it. Throws a `MalformedMessageError`.
 */
export function jobSpecOf(map: unknown): JobSpec {
  const submission = checkSubmission(map);
  return {
    id: submission.name_id,
    jobClass: submission.lane,
    team: submission.crew,
    kind: KIND_NAMES[submission.shape]!,
    priority: PRIORITY_NAMES[submission.urgency]!,
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

/** The map of a submission; `jobSpecOf` reads it. */
export function submissionMap(job: JobSpec): Record<string, unknown> {
  return {
    name_id: job.id,
    lane: job.jobClass,
    crew: job.team,
    shape: KIND_WORDS[job.kind],
    urgency: PRIORITY_WORDS[job.priority],
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
    // Left out when empty: jobs without dependencies are stored as versions without `awaits` store them.
    ...(job.awaits.length > 0 ? { awaits: job.awaits } : {}),
  };
}

/** Reads the body of a submission. Throws a `MalformedMessageError`. */
export function decodeSubmission(body: Uint8Array): JobSpec {
  return jobSpecOf(decodeMap(body));
}

/** The body of a submission. */
export function encodeSubmission(job: JobSpec): Buffer {
  return encode(submissionMap(job));
}

/** The state of a job as users see it. */
export interface JobState {
  readonly id: string;
  readonly status: JobStatus;
  /** How many tasks are done; for display. */
  readonly done?: number;
  /** How many tasks run; for display. */
  readonly running?: number;
}

/** The body of a response about a job. */
export function encodeJobState(state: JobState): Buffer {
  const map: Record<string, unknown> = { name_id: state.id, status: STATUS_WORDS[state.status] };
  if (state.done !== undefined) map.done = state.done;
  if (state.running !== undefined) map.running = state.running;
  return encode(map);
}

/** Reads the body of a response about a job. Throws a `MalformedMessageError`. */
export function decodeJobState(body: Uint8Array): JobState {
  const map = decodeMap(body);
  const status = (Object.keys(STATUS_WORDS) as JobStatus[]).find((name) => STATUS_WORDS[name] === map.status);
  if (status === undefined) throw new MalformedMessageError('status', 'unknown');
  if (typeof map.name_id !== 'string') throw new MalformedMessageError('name_id', 'not text');
  return {
    id: map.name_id,
    status,
    ...(typeof map.done === 'number' ? { done: map.done } : {}),
    ...(typeof map.running === 'number' ? { running: map.running } : {}),
  };
}

/** The body of an error response. Users and workers see the reason. */
export function encodeError(reason: string): Buffer {
  return encode({ error: reason });
}
