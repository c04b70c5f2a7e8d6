import { Type } from '@sinclair/typebox';
import { checker } from './check';
import { decodeMap, encode, MalformedMessageError } from './codec';

/** Most urgent first: the index is the rank. */
export const PRIORITIES = ['production', 'high', 'normal', 'low'] as const;
export type Priority = (typeof PRIORITIES)[number];
export type JobKind = 'array' | 'service';
export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';

export const MAX_TASKS = 100_000;

export interface JobSpec {
  readonly id: string;
  readonly jobClass: string;
  readonly team: string;
  readonly kind: JobKind;
  readonly priority: Priority;
  readonly tasks: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly image: string;
  readonly imageGb: number;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly oneZone: boolean;
  readonly spread: boolean;
  readonly spot: boolean;
  readonly estimateS: number;
  readonly checkpointS: number;
  readonly saveS: number;
  readonly deadlineS: number | null;
  /** Jobs that have to be done before any task of this one starts; each is named once. */
  readonly awaits: readonly string[];
}

const PRIORITY_NAMES: Record<string, Priority> = {
  production: 'production',
  high: 'high',
  standard: 'normal',
  low: 'low',
};
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

export function isJobId(id: string): boolean {
  return JOB_ID.test(id);
}

const Amount = Type.Number({ minimum: 0, maximum: 1e12 });
const Word = Type.String({ minLength: 1, maxLength: 64 });

const checkSubmission = checker(
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

/** Reads the map of a submission, as posted by a user and as kept in the state service. */
export function jobSpecOf(map: unknown): JobSpec {
  const s = checkSubmission(map);
  return {
    id: s.name_id,
    jobClass: s.lane,
    team: s.crew,
    kind: KIND_NAMES[s.shape]!,
    priority: PRIORITY_NAMES[s.urgency]!,
    tasks: s.parcels,
    cpus: s.cores,
    gpus: s.accelerators,
    memoryGb: s.memory_gb,
    image: s.crate,
    imageGb: s.image_gb,
    types: s.breeds ?? null,
    zone: s.yard ?? null,
    oneZone: s.same_place,
    spread: s.scatter,
    spot: s.borrowed,
    estimateS: s.guess_s,
    checkpointS: s.stash_every_s,
    saveS: s.stash_s,
    deadlineS: s.due_s ?? null,
    awaits: [...new Set(s.awaits ?? [])],
  };
}

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
    // Left out when empty: the record of a job without dependencies stays as earlier versions write it.
    ...(job.awaits.length > 0 ? { awaits: job.awaits } : {}),
  };
}

export function decodeSubmission(body: Uint8Array): JobSpec {
  return jobSpecOf(decodeMap(body));
}

export function encodeSubmission(job: JobSpec): Buffer {
  return encode(submissionMap(job));
}

export interface JobState {
  readonly id: string;
  readonly status: JobStatus;
  readonly done?: number;
  readonly running?: number;
}

export function encodeJobState(state: JobState): Buffer {
  const map: Record<string, unknown> = { name_id: state.id, status: STATUS_WORDS[state.status] };
  if (state.done !== undefined) map.done = state.done;
  if (state.running !== undefined) map.running = state.running;
  return encode(map);
}

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

export function encodeError(reason: string): Buffer {
  return encode({ error: reason });
}
