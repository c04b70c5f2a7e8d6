// The values that gingerlock keeps in the state service, and their keys. Field names are short because a value has a
// size limit and every change is sent to every controller.
import { Type } from '@sinclair/typebox';
import { checker } from './check';
import { integer } from './codec';
import { type JobSpec, jobSpecOf, submissionMap } from './users';

/** Everything of ours is below one prefix, so that one request follows it all. */
export const PREFIX = 'g/';

export const KEYS = {
  meta: 'g/meta',
  term: 'g/term',
  types: 'g/types',
  owner: (resource: string) => `g/own/${resource}`,
  hold: (resource: string) => `g/hold/${resource}`,
  /** A term record: the owner of that term knows that the `movedAt` of its record bounds its takeover. */
  confirmedTerm: (resource: string) => `g/timed/${resource}`,
  job: (id: string) => `g/j/${id}`,
  finished: (id: string, partitionId: number, page: number) => `g/f/${id}/${partitionId}/${page}`,
  /** A page of finished tasks that begins at task `first`; see `finishedPageFor`. */
  finishedFrom: (id: string, partitionId: number, first: number) => `g/o/${id}/${partitionId}/${first}`,
  membership: (partitionId: number, machine: string) => `g/r/${partitionId}/${machine}`,
  reclaim: (partitionId: number, id: string) => `g/b/${partitionId}/${id}`,
  /** How the replica group of a job stands. */
  group: (job: string) => `g/g/${job}`,
} as const;

/** The slot of the leader; the slot of a part is its number. */
export const LEADERSHIP = 'lead';

export type ParsedKey =
  | { readonly kind: 'meta' | 'term' | 'types' | 'other' }
  | { readonly kind: 'owner' | 'hold' | 'confirmedTerm'; readonly resource: string }
  | { readonly kind: 'job'; readonly id: string }
  | { readonly kind: 'finished'; readonly id: string; readonly partitionId: number; readonly page: number }
  | { readonly kind: 'finishedFrom'; readonly id: string; readonly partitionId: number; readonly first: number }
  | { readonly kind: 'membership'; readonly partitionId: number; readonly machine: string }
  | { readonly kind: 'reclaim'; readonly partitionId: number; readonly id: string }
  | { readonly kind: 'group'; readonly job: string };

export function parseKey(key: string): ParsedKey {
  const words = key.split('/');
  switch (words[1]) {
    case 'meta':
    case 'term':
    case 'types':
      return { kind: words[1] };
    case 'own':
      return { kind: 'owner', resource: words[2] ?? '' };
    case 'hold':
      return { kind: 'hold', resource: words[2] ?? '' };
    case 'timed':
      return { kind: 'confirmedTerm', resource: words[2] ?? '' };
    case 'j':
      return { kind: 'job', id: words[2] ?? '' };
    case 'f':
      return { kind: 'finished', id: words[2] ?? '', partitionId: Number(words[3]), page: Number(words[4]) };
    case 'o':
      return { kind: 'finishedFrom', id: words[2] ?? '', partitionId: Number(words[3]), first: Number(words[4]) };
    case 'r':
      return { kind: 'membership', partitionId: Number(words[2]), machine: words.slice(3).join('/') };
    case 'b':
      return { kind: 'reclaim', partitionId: Number(words[2]), id: words.slice(3).join('/') };
    case 'g':
      return { kind: 'group', job: words[2] ?? '' };
    default:
      return { kind: 'other' };
  }
}

/** Fixed by the first controller that ever starts. */
export interface Meta {
  readonly format: number;
  readonly partitionCount: number;
  /** The zone in which each part has its home; none: machines are shared out without regard to zones. */
  readonly zones: readonly string[];
  readonly pageTasks: number;
}

export const FORMAT = 1;

const checkMeta = checker(
  Type.Object({
    v: Type.Integer(),
    parts: Type.Integer({ minimum: 1, maximum: 1000 }),
    page: Type.Integer({ minimum: 8 }),
    z: Type.Optional(Type.Array(Type.String())),
  }),
);
export const metaRecord = {
  write: (m: Meta): unknown => ({
    v: m.format,
    parts: m.partitionCount,
    page: m.pageTasks,
    ...(m.zones.length > 0 ? { z: m.zones } : {}),
  }),
  read: (value: unknown): Meta => {
    const m = checkMeta(value);
    return { format: m.v, partitionCount: m.parts, zones: m.z ?? [], pageTasks: m.page };
  },
};

const checkTerm = checker(Type.Object({ t: Type.Integer({ minimum: 0 }) }));
export const termRecord = {
  write: (term: number): unknown => ({ t: term }),
  read: (value: unknown): number => checkTerm(value).t,
};

export interface OwnerRecord {
  readonly term: number;
  readonly node: string;
  /** Time of day (ms) of the last takeover from another controller that may have gone on; 0 if there never was one. */
  readonly failoverAt: number;
  /** Given back: this owner has answered nobody since before this was written. */
  readonly released: boolean;
}

const checkOwner = checker(
  Type.Object({
    t: Type.Integer({ minimum: 1 }),
    n: Type.String(),
    at: Type.Number(),
    r: Type.Optional(Type.Integer()),
  }),
);
export const ownerRecord = {
  write: (o: OwnerRecord): unknown => ({ t: o.term, n: o.node, at: o.failoverAt, ...(o.released ? { r: 1 } : {}) }),
  read: (value: unknown): OwnerRecord => {
    const o = checkOwner(value);
    return { term: o.t, node: o.n, failoverAt: o.at, released: o.r === 1 };
  },
};

export interface HoldRecord {
  readonly node: string;
  /** Differs between two processes of one controller. */
  readonly process: string;
  /** It takes lists of claims from owners; controllers that do not know them would end the connection. */
  readonly takesClaimLists?: boolean;
  /** It takes reports on replica groups from owners, as above. */
  readonly takesGroupReports?: boolean;
}

const checkHold = checker(
  Type.Object({
    n: Type.String(),
    i: Type.String(),
    c: Type.Optional(Type.Integer()),
    g: Type.Optional(Type.Integer()),
  }),
);
export const holdRecord = {
  write: (h: HoldRecord): unknown => ({
    n: h.node,
    i: h.process,
    ...(h.takesClaimLists === true ? { c: 1 } : {}),
    ...(h.takesGroupReports === true ? { g: 1 } : {}),
  }),
  read: (value: unknown): HoldRecord => {
    const h = checkHold(value);
    return {
      node: h.n,
      process: h.i,
      ...(h.c === 1 ? { takesClaimLists: true } : {}),
      ...(h.g === 1 ? { takesGroupReports: true } : {}),
    };
  },
};

/** Tasks `from` up to but excluding `from + count` are assigned to `part`, there to run in `zone` (null: any). */
export interface AssignedRange {
  readonly from: number;
  readonly count: number;
  readonly partitionId: number;
  readonly zone: string | null;
  /** Term of the part's owner at the assignment. */
  readonly term: number;
}

export type JobRecord =
  | { readonly final: 'done' | 'cancelled' }
  | {
      readonly final: null;
      readonly spec: JobSpec;
      /** Time of day (ms) at the controller that accepted it: an order of arrival, nothing more. */
      readonly acceptedAt: number;
      readonly cancelled: boolean;
      /** Its tasks failed on several machines and none was seen to run: at most one at a time is tried. */
      readonly isCrashLooping: boolean;
      readonly assignedRanges: readonly AssignedRange[];
    };

const checkJob = checker(
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
export const jobRecord = {
  write: (j: JobRecord): unknown =>
    j.final !== null
      ? { f: j.final === 'done' ? 'd' : 'x' }
      : {
          s: submissionMap(j.spec),
          t: j.acceptedAt,
          c: j.cancelled ? 1 : 0,
          // Left out when it does not hold: versions that do not know it drop it, which costs a few more failures.
          ...(j.isCrashLooping ? { e: 1 } : {}),
          r: j.assignedRanges.map((range) => [range.from, range.count, range.partitionId, range.zone, range.term]),
        },
  read: (value: unknown): JobRecord => {
    const j = checkJob(value);
    if ('f' in j) return { final: j.f === 'd' ? 'done' : 'cancelled' };
    return {
      final: null,
      spec: jobSpecOf(j.s),
      acceptedAt: j.t,
      cancelled: j.c === 1,
      isCrashLooping: j.e === 1,
      assignedRanges: j.r.map(([from, count, partitionId, zone, term]) => ({ from, count, partitionId, zone, term })),
    };
  },
};

const checkPage = checker(Type.Object({ b: Type.String() }));
/** One page of a job's finished tasks at one part: a bit per task, the lowest bit first. */
export const finishedRecord = {
  write: (bits: Uint8Array): unknown => ({ b: Buffer.from(bits).toString('base64') }),
  read: (value: unknown): Uint8Array => new Uint8Array(Buffer.from(checkPage(value).b, 'base64')),
};

const checkMembership = checker(Type.Object({ a: Type.String() }));
export const membershipRecord = {
  write: (addr: string): unknown => ({ a: addr }),
  read: (value: unknown): string => checkMembership(value).a,
};

/** Tasks of one job get room on one machine, for which tasks that it holds are stopped; see docs/borrowing-design.md. */
export interface ReclaimRecord {
  readonly machine: string;
  /** The job that gets the room, and its tasks. */
  readonly job: string;
  readonly tasks: readonly number[];
  /** What may be stopped for them: tasks, each under the attempt that it had then. */
  readonly victims: readonly { readonly task: string; readonly attempt: number }[];
  /** Time of day (ms) at the leader that decided it. */
  readonly decidedAt: number;
  readonly reason: 'priority' | 'guarantee';
}

const checkReclaim = checker(
  Type.Object({
    m: Type.String({ minLength: 1 }),
    j: Type.String({ minLength: 1 }),
    t: Type.Array(Type.Integer({ minimum: 0 }), { minItems: 1 }),
    v: Type.Array(Type.Tuple([Type.String(), Type.Integer({ minimum: 0 })])),
    at: Type.Number(),
    w: Type.Union([Type.Literal('p'), Type.Literal('g')]),
  }),
);
export const reclaimRecord = {
  write: (r: ReclaimRecord): unknown => ({
    m: r.machine,
    j: r.job,
    t: r.tasks,
    v: r.victims.map(({ task: taskName, attempt }) => [taskName, integer(attempt)]),
    at: r.decidedAt,
    w: r.reason === 'priority' ? 'p' : 'g',
  }),
  read: (value: unknown): ReclaimRecord => {
    const r = checkReclaim(value);
    return {
      machine: r.m,
      job: r.j,
      tasks: r.t,
      victims: r.v.map(([taskName, attempt]) => ({ task: taskName, attempt })),
      decidedAt: r.at,
      reason: r.w === 'p' ? 'priority' : 'guarantee',
    };
  },
};
