// The records that gingerlock stores in the key-value store, and their schemas; `keys.ts` has their keys. Stored names
// are short because a value has a size limit and every change is sent to every controller. `read` throws a
// `MalformedMessageError` if the value is no such record.
import { Type } from '@sinclair/typebox';
import { compileValidator } from './validator';
import { integer } from './codec';
import { type JobSpec, jobSpecOf, submissionMap } from './users';

/** What the first controller that ever starts fixes for good. */
export interface Meta {
  /** Version of the stored format; see `FORMAT`. */
  readonly format: number;
  readonly partitionCount: number;
  /** The home zone of each partition; empty: machines are shared out without regard to zones. */
  readonly zones: readonly string[];
  /** How many tasks one page of finished tasks covers. */
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
/** At `KEYS.meta`. */
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
/** At `KEYS.term`, the highest term so far; at `KEYS.confirmedTerm`, a term of ownership. */
export const termRecord = {
  write: (term: number): unknown => ({ t: term }),
  read: (value: unknown): number => checkTerm(value).t,
};

/** Who owns a resource: the leadership or a partition. */
export interface OwnerRecord {
  readonly term: number;
  readonly node: string;
  /** Time of day (ms) of the last failover from another controller that may have gone on; 0: there never was one. */
  readonly failoverAt: number;
  /** Whether the owner has released the resource: it has answered nobody since before this was written. */
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
/** At `KEYS.owner`. */
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

/** Bound to a lease of the store: while it exists, the owner of the resource counts as alive. */
export interface HoldRecord {
  readonly node: string;
  /** Differs between two processes of one controller. */
  readonly process: string;
  /** The process accepts lists of claims; controllers of versions without them would close the connection. */
  readonly takesClaimLists?: boolean;
  /** The process accepts reports on replica groups; as above. */
  readonly takesGroupReports?: boolean;
}

const checkHold = compileValidator(
  Type.Object({
    n: Type.String(),
    i: Type.String(),
    c: Type.Optional(Type.Integer()),
    g: Type.Optional(Type.Integer()),
  }),
);
/** At `KEYS.hold`. */
export const holdRecord = {
  write: (hold: HoldRecord): unknown => ({
    n: hold.node,
    i: hold.process,
    ...(hold.takesClaimLists === true ? { c: 1 } : {}),
    ...(hold.takesGroupReports === true ? { g: 1 } : {}),
  }),
  read: (value: unknown): HoldRecord => {
    const { n, i, c, g } = checkHold(value);
    return {
      node: n,
      process: i,
      ...(c === 1 ? { takesClaimLists: true } : {}),
      ...(g === 1 ? { takesGroupReports: true } : {}),
    };
  },
};

/** Tasks `from` up to but excluding `from + count` are assigned to a partition, to run there in `zone` (null: any). */
export interface AssignedRange {
  readonly from: number;
  readonly count: number;
  readonly partitionId: number;
  readonly zone: string | null;
  /** Term of the partition's owner at the assignment. */
  readonly term: number;
}

/** A job: only its outcome once it is over. */
export type JobRecord =
  | { readonly final: 'done' | 'cancelled' }
  | {
      readonly final: null;
      readonly spec: JobSpec;
      /** Time of day (ms) at the controller that accepted it. Used only to order jobs by arrival. */
      readonly acceptedAt: number;
      readonly cancelled: boolean;
      /**
       * Its tasks failed on several machines and none was seen to run: at most one at a time is started, as a probe.
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
/** At `KEYS.job`. */
export const jobRecord = {
  write: (job: JobRecord): unknown =>
    job.final !== null
      ? { f: job.final === 'done' ? 'd' : 'x' }
      : {
          s: submissionMap(job.spec),
          t: job.acceptedAt,
          c: job.cancelled ? 1 : 0,
          // Left out when false. Versions without it drop it, which costs a few more failures.
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
 * At `KEYS.finished` and `KEYS.finishedFrom`: a page of a job's finished tasks on one partition, one bit per task,
 * lowest first.
 */
export const finishedRecord = {
  write: (bits: Uint8Array): unknown => ({ b: Buffer.from(bits).toString('base64') }),
  read: (value: unknown): Uint8Array => new Uint8Array(Buffer.from(checkPage(value).b, 'base64')),
};

const checkMembership = compileValidator(Type.Object({ a: Type.String() }));
/** At `KEYS.membership`: the address of a machine that belongs to the partition, as `HOST:PORT`. */
export const membershipRecord = {
  write: (addr: string): unknown => ({ a: addr }),
  read: (value: unknown): string => checkMembership(value).a,
};

/** A reclaim: tasks on one machine are preempted for tasks of one job. See docs/borrowing-design.md. */
export interface ReclaimRecord {
  readonly machine: string;
  /** The job that the reclaim is for. */
  readonly job: string;
  /** Indexes of its tasks that get the capacity. */
  readonly tasks: readonly number[];
  /** The tasks to preempt, each in the attempt that it had at the decision. */
  readonly victims: readonly { readonly task: string; readonly attempt: number }[];
  /** Time of day (ms) at the leader that decided it. */
  readonly decidedAt: number;
  /** Why they may be preempted: for work of higher priority, or to give a team its guarantee. */
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
/** At `KEYS.reclaim`. */
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
