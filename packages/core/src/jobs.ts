import {
  finishedRecord,
  jobRecord,
  type JobRecord,
  type JobSpec,
  PRIORITIES,
  type ParsedKey,
  type Round,
} from '@gingerlock/wire';

/** The finished tasks of one job at one part, one page. */
export class Bits {
  constructor(public bytes: Uint8Array = new Uint8Array(0)) {}

  has(bit: number): boolean {
    return (((this.bytes[bit >> 3] ?? 0) >> (bit & 7)) & 1) === 1;
  }

  /** A copy with one more bit. */
  with(bit: number): Bits {
    const bytes = new Uint8Array(Math.max(this.bytes.length, (bit >> 3) + 1));
    bytes.set(this.bytes);
    bytes[bit >> 3]! |= 1 << (bit & 7);
    return new Bits(bytes);
  }
}

interface Page {
  readonly part: number;
  readonly page: number;
  readonly bits: Bits;
  readonly version: number;
}

/** A job that is neither done nor wholly cancelled, as the state service has it. */
export class Job {
  spec!: JobSpec;
  acceptedAt = 0;
  cancelled = false;
  /** Another controller has told us that it is cancelled: true for ever, though our copy of its record may not say so yet. */
  calledOff = false;
  rounds: readonly Round[] = [];
  version = 0;
  /** Urgency as a number; 0 goes first. */
  rank = 0;
  readonly pages = new Map<string, Page>();
  #finished = new Set<number>();

  constructor(readonly id: string) {}

  isFinished(task: number): boolean {
    return this.#finished.has(task);
  }

  get finishedCount(): number {
    return this.#finished.size;
  }

  get complete(): boolean {
    return this.#finished.size >= this.spec.tasks;
  }

  setPage(part: number, page: number, bytes: Uint8Array, version: number, pageTasks: number): void {
    this.pages.set(`${part}/${page}`, { part, page, bits: new Bits(bytes), version });
    const first = page * pageTasks;
    for (let i = 0; i < bytes.length * 8; i++) {
      if (((bytes[i >> 3]! >> (i & 7)) & 1) === 1) this.#finished.add(first + i);
    }
  }

  page(part: number, page: number): Page | undefined {
    return this.pages.get(`${part}/${page}`);
  }

  /** Ranges of tasks that are in no round, as [from, count]. */
  undealt(): [number, number][] {
    const rounds = [...this.rounds].sort((a, b) => a.from - b.from);
    const gaps: [number, number][] = [];
    let next = 0;
    for (const r of rounds) {
      if (r.from > next) gaps.push([next, r.from - next]);
      next = Math.max(next, r.from + r.count);
    }
    if (next < this.spec.tasks) gaps.push([next, this.spec.tasks - next]);
    return gaps;
  }
}

/** The jobs of this controller's replica of the state service. */
export class JobTable {
  readonly live = new Map<string, Job>();
  readonly finals = new Map<string, 'done' | 'cancelled'>();
  /** Finished pages that were seen before their job. */
  readonly #early = new Map<string, { part: number; page: number; bytes: Uint8Array; version: number }[]>();

  constructor(readonly pageTasks: () => number) {}

  /** Takes one change of a job's key; returns the record, or null if the key was removed. */
  applyJob(id: string, value: unknown, version: number): JobRecord | null {
    if (value === undefined) {
      this.live.delete(id);
      this.finals.delete(id);
      return null;
    }
    const record = jobRecord.read(value);
    if (record.final !== null) {
      this.live.delete(id);
      this.#early.delete(id);
      this.finals.set(id, record.final);
      return record;
    }
    let job = this.live.get(id);
    if (job === undefined) {
      job = new Job(id);
      this.live.set(id, job);
    }
    job.spec = record.spec;
    job.rank = PRIORITIES.indexOf(record.spec.priority);
    job.acceptedAt = record.acceptedAt;
    job.cancelled = record.cancelled || job.calledOff;
    job.rounds = record.rounds;
    job.version = version;
    for (const p of this.#early.get(id) ?? []) job.setPage(p.part, p.page, p.bytes, p.version, this.pageTasks());
    this.#early.delete(id);
    return record;
  }

  /** A controller that has told a user so says that the job is cancelled. */
  callOff(id: string): void {
    const job = this.live.get(id);
    if (job === undefined) return;
    job.calledOff = true;
    job.cancelled = true;
  }

  applyFinished(key: Extract<ParsedKey, { kind: 'finished' }>, value: unknown, version: number): void {
    // A page goes only together with its whole job, whose own change says the rest.
    if (value === undefined) {
      this.#early.delete(key.id);
      return;
    }
    const bytes = finishedRecord.read(value);
    const job = this.live.get(key.id);
    if (job !== undefined) {
      job.setPage(key.part, key.page, bytes, version, this.pageTasks());
    } else if (!this.finals.has(key.id)) {
      const list = this.#early.get(key.id) ?? [];
      list.push({ part: key.part, page: key.page, bytes, version });
      this.#early.set(key.id, list);
    }
  }
}

/** Cuts the given tasks out of the rounds; what is left keeps its part, zone and term. */
export function withoutTasks(rounds: readonly Round[], gone: ReadonlySet<number>): Round[] {
  const left: Round[] = [];
  for (const r of rounds) {
    let from = r.from;
    for (let i = r.from; i <= r.from + r.count; i++) {
      if (i === r.from + r.count || gone.has(i)) {
        if (i > from) left.push({ ...r, from, count: i - from });
        from = i + 1;
      }
    }
  }
  return left;
}

/** Adds rounds, joining neighbours that were dealt alike, so that a record stays small. */
export function joinRounds(rounds: readonly Round[]): Round[] {
  const sorted = [...rounds].sort((a, b) => a.from - b.from);
  const joined: Round[] = [];
  for (const r of sorted) {
    const last = joined.at(-1);
    if (
      last !== undefined &&
      last.from + last.count === r.from &&
      last.part === r.part &&
      last.zone === r.zone &&
      last.term === r.term
    ) {
      joined[joined.length - 1] = { ...last, count: last.count + r.count };
    } else {
      joined.push(r);
    }
  }
  return joined;
}
