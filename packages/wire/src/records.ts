// The records that gingerlock stores in the key-value store, and their schemas; `keys.ts` defines their keys. Stored
// names are short because the size of a value is limited and every change is sent to every controller. `read` throws a
// `MalformedMessageError` if the value does not match the schema.
import { Type } from '@sinclair/typebox';
import { compileValidator } from './validator';
import { integer } from './codec';
import { type JobSpec, jobSpecOf, submissionMap } from './users';

/** Properties of the deployment that its first controller writes once and that never change. */
export interface Meta {
  /** Version of the stored format; see `FORMAT`. */
  readonly format: number;
  readonly partitionCount: number;
  /** The home zone of each partition; empty if machines are distributed regardless of zones. */
  readonly zones: readonly string[];
  /** Number of tasks that one page of finished tasks covers. */
  readonly pageTasks: number;
}

/** The version of the stored format that this program reads and writes. */
export const FORMAT = 1;

const checkMeta = compileValidator(
  Type.Object({
    v: Type.Integer(),
    parts: Type.Integer({ minimum: 1, maximum: 1000 }),
    page: Type.Integer({ minimum: 8 }),
    z: Type.Optional(Type.Array(Type.String())),
  }),
);
/** The format of the value at `KEYS.meta`. */
export const metaRecord = {
  write: ({ format, partitionCount, pageTasks, zones }: Meta): unknown => ({
    v: format,
    parts: partitionCount,
    page: pageTasks,
    ...(zones.length > 0 ? { z: zones } : {}),
  }),
  read: (value: unknown): Meta => {
    const { v, parts, page, z } = checkMeta(value);
    return { format: v, partitionCount: parts, zones: z ?? [], pageTasks: page };
  },
};

const checkTerm = compileValidator(Type.Object({ t: Type.Integer({ minimum: 0 }) }));
/** The format of the values at `KEYS.term`, the highest term so far, and at `KEYS.confirmedTerm`. */
export const termRecord = {
  write: (term: number): unknown => ({ t: term }),
  read: (value: unknown): number => checkTerm(value).t,
};

/** The owner of a resource, which is a partition or the leadership. */
export interface OwnerRecord {
  readonly term: number;
  readonly node: string;
  /** Time of day (ms) of the last failover after which the previous owner may have continued; 0: there was none. */
  readonly failoverAt: number;
  /** Whether the owner has released the resource. It stopped answering workers before it wrote this. */
  readonly released: boolean;
}

const checkOwner = compileValidator(
  Type.Object({
    t: Type.Integer({ minimum: 1 }),
    n: Type.String(),
    at: Type.Number(),
    r: Type.Optional(Type.Integer()),
  }),
);
/** The format of the value at `KEYS.owner`. */
export const ownerRecord = {
  write: ({ term, node, failoverAt, released }: OwnerRecord): unknown => ({
    t: term,
    n: node,
    at: failoverAt,
    ...(released ? { r: 1 } : {}),
  }),
  read: (value: unknown): OwnerRecord => {
    const { t, n, at, r } = checkOwner(value);
    return { term: t, node: n, failoverAt: at, released: r === 1 };
  },
};

/** Stored with a store lease. The owner of the resource counts as alive while this record exists. */
export interface HoldRecord {
  readonly node: string;
  /** Id of the controller's process; a restart changes it. */
  readonly process: string;
  /** Whether the process accepts claim lists. Versions that do not know them would close the connection. */
  readonly takesClaimLists?: boolean;
  /** Whether the process accepts group reports. Versions that do not know them would close the connection. */
  readonly takesGroupReports?: boolean;
  /** Whether the process accepts report space. Versions that do not know it would close the connection. */
  readonly takesReportSpace?: boolean;
}

const checkHold = compileValidator(
  Type.Object({
    n: Type.String(),
    i: Type.String(),
    c: Type.Optional(Type.Integer()),
    g: Type.Optional(Type.Integer()),
    s: Type.Optional(Type.Integer()),
  }),
);
/** The format of the value at `KEYS.hold`. */
export const holdRecord = {
  write: (hold: HoldRecord): unknown => ({
    n: hold.node,
    i: hold.process,
    ...(hold.takesClaimLists === true ? { c: 1 } : {}),
    ...(hold.takesGroupReports === true ? { g: 1 } : {}),
    ...(hold.takesReportSpace === true ? { s: 1 } : {}),
  }),
  read: (value: unknown): HoldRecord => {
    const { n, i, c, g, s } = checkHold(value);
    return {
      node: n,
      process: i,
      ...(c === 1 ? { takesClaimLists: true } : {}),
      ...(g === 1 ? { takesGroupReports: true } : {}),
      ...(s === 1 ? { takesReportSpace: true } : {}),
    };
  },
};

/** Assigns tasks `from` up to but excluding `from + count` to a partition, to run in `zone` (null: any zone). */
export interface AssignedRange {
  readonly from: number;
  readonly count: number;
  readonly partitionId: number;
  readonly zone: string | null;
  /** Ownership term of the partition at the time of the assignment. */
  readonly term: number;
}

/** A job. Once it has ended, only its outcome is stored. */
export type JobRecord =
  | { readonly final: 'done' | 'cancelled' }
  | {
      readonly final: null;
      readonly spec: JobSpec;
      /** Time of day (ms) of acceptance, by the accepting controller's clock. Used only to order jobs by arrival. */
      readonly acceptedAt: number;
      readonly cancelled: boolean;
      /**
       * Whether its tasks failed on several machines and none was seen running. Then at most one task at a time is
       * started, as a probe.
       */
      readonly isCrashLooping: boolean;
      readonly assignedRanges: readonly AssignedRange[];
    };

const checkJob = compileValidator(
  Type.Union([
    Type.Object({ f: Type.Union([Type.Literal('d'), Type.Literal('x')]) }),
    Type.Object({
      s: Type.Unknown(),
      t: Type.Number(),
      c: Type.Integer(),
      e: Type.Optional(Type.Integer()),
      r: Type.Array(
        Type.Tuple([
          Type.Integer(),
          Type.Integer(),
          Type.Integer(),
          Type.Union([Type.Null(), Type.String()]),
          Type.Integer(),
        ]),
      ),
    }),
  ]),
);
/** The format of the value at `KEYS.job`. */
export const jobRecord = {
  write: (job: JobRecord): unknown =>
    job.final !== null
      ? { f: job.final === 'done' ? 'd' : 'x' }
      : {
          s: submissionMap(job.spec),
          t: job.acceptedAt,
          c: job.cancelled ? 1 : 0,
          // Omitted when false. Versions without this field drop it, which causes a few more task failures.
          ...(job.isCrashLooping ? { e: 1 } : {}),
          r: job.assignedRanges.map(({ from, count, partitionId, zone, term }) => [
            from,
            count,
            partitionId,
            zone,
            term,
          ]),
        },
  read: (value: unknown): JobRecord => {
    const stored = checkJob(value);
    if ('f' in stored) return { final: stored.f === 'd' ? 'done' : 'cancelled' };
    return {
      final: null,
      spec: jobSpecOf(stored.s),
      acceptedAt: stored.t,
      cancelled: stored.c === 1,
      isCrashLooping: stored.e === 1,
      assignedRanges: stored.r.map(([from, count, partitionId, zone, term]) => ({
        from,
        count,
        partitionId,
        zone,
        term,
      })),
    };
  },
};

const checkPage = compileValidator(Type.Object({ b: Type.String() }));

/**
 * The format of the values at `KEYS.finished` and `KEYS.finishedFrom`: a page of a job's finished tasks on one
 * partition, with one bit per task, the least significant bit first.
 */
export const finishedRecord = {
  write: (bits: Uint8Array): unknown => ({ b: Buffer.from(bits).toString('base64') }),
  read: (value: unknown): Uint8Array => new Uint8Array(Buffer.from(checkPage(value).b, 'base64')),
};

const checkMembership = compileValidator(Type.Object({ a: Type.String() }));
/** The format of the value at `KEYS.membership`: the `HOST:PORT` of a machine that belongs to the partition. */
export const membershipRecord = {
  write: (addr: string): unknown => ({ a: addr }),
  read: (value: unknown): string => checkMembership(value).a,
};

/** A decision to preempt tasks on one machine for tasks of one job. See docs/borrowing-design.md. */
export interface ReclaimRecord {
  readonly machine: string;
  /** The job that gets the capacity. */
  readonly job: string;
  /** Indexes of the job's tasks that get the capacity. */
  readonly tasks: readonly number[];
  /** The tasks to preempt, each with its attempt at the time of the decision. */
  readonly victims: readonly { readonly task: string; readonly attempt: number }[];
  /** Time of day (ms) of the decision, by the clock of the leader that made it. */
  readonly decidedAt: number;
  /** Whether the victims are preempted for a task of higher priority or for a team's guarantee. */
  readonly reason: 'priority' | 'guarantee';
}

const checkReclaim = compileValidator(
  Type.Object({
    m: Type.String({ minLength: 1 }),
    j: Type.String({ minLength: 1 }),
    t: Type.Array(Type.Integer({ minimum: 0 }), { minItems: 1 }),
    v: Type.Array(Type.Tuple([Type.String(), Type.Integer({ minimum: 0 })])),
    at: Type.Number(),
    w: Type.Union([Type.Literal('p'), Type.Literal('g')]),
  }),
);
/** The format of the value at `KEYS.reclaim`. */
export const reclaimRecord = {
  write: ({ machine, job, tasks, victims, decidedAt, reason }: ReclaimRecord): unknown => ({
    m: machine,
    j: job,
    t: tasks,
    v: victims.map(({ task, attempt }) => [task, integer(attempt)]),
    at: decidedAt,
    w: reason === 'priority' ? 'p' : 'g',
  }),
  read: (value: unknown): ReclaimRecord => {
    const { m, j, t, v, at, w } = checkReclaim(value);
    return {
      machine: m,
      job: j,
      tasks: t,
      victims: v.map(([task, attempt]) => ({ task, attempt })),
      decidedAt: at,
      reason: w === 'p' ? 'priority' : 'guarantee',
    };
  },
};
