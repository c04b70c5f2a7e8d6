// The leader's division of waiting tasks among the parts by free room, with the arithmetic of team limits and zones.
import { type MachineType, PRIORITIES, type Round } from '@gingerlock/wire';
import { type Amounts, type Facts, fits, limitAllows, NOTHING, plus, typeAllows } from './facts';
import { type Job, jobOrder } from './jobs';
import { joinRounds } from './rounds';
import { fetchMs, SERVICE_VICTIM_MS, STOP_MS } from './placement';

/** What a part's owner says of one machine. */
export interface MachineRoom {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** What its worker called its session last: a new owner needs it to show its term. */
  readonly session: number;
  /** Left after its claims and after the waiting tasks that the owner expects to bind here. */
  readonly free: Amounts;
  /** What stopping its claims of each rank would free, by rank. */
  readonly byRank: readonly Amounts[];
  readonly images: readonly string[];
  readonly takesWork: boolean;
  readonly draining: boolean;
  readonly noticed: boolean;
  readonly sick: boolean;
  readonly empty: boolean;
  /** How long it has been empty. */
  readonly emptyMs: number;
  /** Since its last report that was answered. */
  readonly silentMs: number;
}

export interface PartSummary {
  readonly part: number;
  readonly term: number;
  /** The owner's replica stood at this revision: later deals are not in it yet. */
  readonly revision: number;
  readonly machines: readonly MachineRoom[];
  /** What the tasks add up to that a new owner has been waiting to hear of for longer than machines take to report. */
  readonly missing: Amounts;
  readonly running: readonly (readonly [string, number])[];
}

export interface Deal {
  readonly job: Job;
  /** What is added to the rounds of its record. */
  readonly added: readonly Round[];
  /** Which machine each task was meant for: counted against its room until the owner's summary shows it. */
  readonly meant: readonly { machine: string; need: Amounts }[];
}

/** Tasks that have no room anywhere, though their team's limit allows them. */
export interface Unmet {
  readonly job: Job;
  readonly count: number;
  /** Zones it may go to; null: any. */
  readonly zones: readonly string[] | null;
}

export interface DivisionInput {
  readonly jobs: Iterable<Job>;
  readonly summaries: readonly PartSummary[];
  /** Deals that a summary may not show yet. */
  readonly recent: readonly { revision: number; machine: string; part: number; need: Amounts }[];
  readonly facts: Facts;
  readonly types: ReadonlyMap<string, MachineType>;
  readonly most: number;
}

interface Bin {
  readonly room: MachineRoom;
  readonly part: number;
  readonly term: number;
  free: Amounts;
  byRank: Amounts[];
}

/** What the dealt and unfinished tasks of every team add up to. */
export function teamUse(jobs: Iterable<Job>): Map<string, Amounts> {
  const use = new Map<string, Amounts>();
  for (const job of jobs) {
    const n = dealtUnfinished(job);
    if (n > 0) use.set(job.spec.team, plus(use.get(job.spec.team) ?? NOTHING, job.spec, n));
  }
  return use;
}

export function dealtUnfinished(job: Job): number {
  return job.rounds.reduce((n, r) => n + unfinishedIn(job, r), 0);
}

function unfinishedIn(job: Job, { from, count }: Round): number {
  if (job.finishedCount === 0) return count;
  let n = 0;
  for (let i = from; i < from + count; i++) if (!job.isFinished(i)) n++;
  return n;
}

/** At most this many tasks of a spread job in one zone. */
export function spreadCap(job: Job): number {
  return Math.ceil(job.spec.tasks / 2);
}

/**
 * How many tasks of the job may be in each zone now. Those that are finished are off their machines: counted with the
 * others, they once bound the rest of a job of one zone to a zone that had lost its machines.
 */
function zoneCounts(job: Job): Map<string, number> {
  const counts = new Map<string, number>();
  for (const r of job.rounds) {
    const n = unfinishedIn(job, r);
    if (r.zone !== null && n > 0) counts.set(r.zone, (counts.get(r.zone) ?? 0) + n);
  }
  return counts;
}

export function divide(input: DivisionInput): { deals: Deal[]; unmet: Unmet[] } {
  const bins: Bin[] = [];
  for (const s of input.summaries) {
    for (const room of s.machines) {
      if (!room.takesWork) continue;
      let free = room.free;
      for (const d of input.recent) {
        if (d.part === s.part && d.machine === room.name && d.revision > s.revision) free = plus(free, d.need, -1);
      }
      bins.push({ room, part: s.part, term: s.term, free, byRank: [...room.byRank] });
    }
  }
  const jobs = [...input.jobs];
  const use = teamUse(jobs);
  const deals: Deal[] = [];
  const unmet: Unmet[] = [];
  // Shapes of tasks for which there is no room left: rooms only shrink from here on, so nobody looks for them again.
  const full = new Set<string>();
  for (const job of jobs.filter((j) => j.ready && !j.cancelled).sort(jobOrder)) {
    const gaps = job.undealt();
    if (gaps.length === 0) continue;
    const team = input.facts.teams.get(job.spec.team);
    // A team that is gone from the settings gets no more room; what it had goes on.
    if (team === undefined) continue;
    let allowed = limitAllows(team, use.get(team.name) ?? NOTHING, job.spec);
    if (allowed === 0) continue;
    const zones = zoneCounts(job);
    let oneZone = job.spec.oneZone ? ([...zones.keys()][0] ?? bestZone(job, bins)) : null;
    const cap = spreadCap(job);
    const indices: number[] = [];
    const places: Place[] = [];
    const meant: { machine: string; need: Amounts }[] = [];
    const shape = shapeOf(job);
    let missing = 0;
    tasks: for (const [from, count] of gaps) {
      for (let index = from; index < from + count; index++) {
        if (job.isFinished(index)) continue;
        if (allowed <= 0) break tasks;
        const bin =
          missing > 0 || deals.length >= input.most || full.has(shape)
            ? undefined
            : pick(
                job,
                bins,
                input,
                (zone) => (oneZone === null || zone === oneZone) && (!job.spec.spread || (zones.get(zone) ?? 0) < cap),
                places.at(-1)?.part ?? job.rounds.at(-1)?.part,
              );
        allowed--;
        if (bin === undefined) {
          // With zones of its own to keep to, it says nothing of others.
          if (deals.length < input.most && !job.spec.spread && !job.spec.oneZone) full.add(shape);
          missing++;
          continue;
        }
        take(bin, job);
        const zone = job.spec.spread || job.spec.oneZone ? bin.room.zone : job.spec.zone;
        // With no free room anywhere no zone was the best: the first task that gets room by preemption binds the rest.
        if (job.spec.oneZone) oneZone = zone;
        if (zone !== null) zones.set(zone, (zones.get(zone) ?? 0) + 1);
        indices.push(index);
        places.push({ part: bin.part, zone, term: bin.term });
        meant.push({ machine: bin.room.name, need: job.spec });
      }
    }
    use.set(team.name, plus(use.get(team.name) ?? NOTHING, job.spec, places.length + missing));
    if (places.length > 0) deals.push({ job, added: roundsOf(indices, places), meant });
    if (missing > 0) {
      const open = job.spec.spread ? input.facts.zones.filter((z) => (zones.get(z) ?? 0) < cap) : null;
      unmet.push({
        job,
        count: missing,
        zones: oneZone !== null ? [oneZone] : job.spec.zone !== null ? [job.spec.zone] : open,
      });
    }
  }
  return { deals, unmet };
}

/** Where one more task of a job is to run. */
type Place = Omit<Round, 'from' | 'count'>;

/**
 * Shares out the tasks, which are all alike, so that those of one place follow each other: one round for each place
 * instead of one for each task keeps the record of a large job within the limit on values.
 */
function roundsOf(indices: readonly number[], places: readonly Place[]): Round[] {
  const sorted = [...places].sort((a, b) => a.part - b.part || (a.zone ?? '').localeCompare(b.zone ?? ''));
  return joinRounds(sorted.map((place, i) => ({ from: indices[i]!, count: 1, ...place })));
}

function shapeOf({ ownRank, spec }: Job): string {
  return [ownRank, spec.cpus, spec.gpus, spec.memoryGb, spec.zone, spec.spot, ...(spec.types ?? [])].join();
}

function suits(job: Job, bin: Bin): boolean {
  return typeAllows(job.spec, bin.room.type, bin.room.zone, bin.room.spot);
}

/** The zone in which most tasks of the job fit now. */
function bestZone(job: Job, bins: readonly Bin[]): string | null {
  const byZone = new Map<string, number>();
  for (const bin of bins) {
    if (!suits(job, bin) || !fits(job.spec, bin.free)) continue;
    byZone.set(bin.room.zone, (byZone.get(bin.room.zone) ?? 0) + bin.free.gpus + bin.free.cpus / 1000);
  }
  let best: string | null = job.spec.zone;
  for (const [zone, room] of byZone) if (best === null || room > (byZone.get(best) ?? 0)) best = zone;
  return best;
}

/**
 * Tasks of an array that go to another partition than the one before them count as this part of a report interval later:
 * each partition writes its finished tasks itself, and its last ones are a step more until the job is done.
 */
const APART = 4;

/** How soon the task would run there, in milliseconds, with ties broken towards what is fuller already. */
function cost(job: Job, bin: Bin, input: DivisionInput, lastPart: number | undefined): number {
  const type = input.types.get(bin.room.type);
  const fetch = fetchMs(job.spec.imageGb, bin.room.images.includes(job.spec.image), type);
  // Ordinary machines are dear: work that may run on spot goes there unless it would wait for longer than this.
  const kind = job.spec.spot && !bin.room.spot ? input.facts.reportMs * 2 : 0;
  const tight = type === undefined || type.gpus <= 0 ? 0 : bin.free.gpus / type.gpus;
  const apart =
    job.spec.kind === 'array' && lastPart !== undefined && lastPart !== bin.part ? input.facts.reportMs / APART : 0;
  return fetch + kind + apart + (input.facts.reportMs / 10) * tight;
}

/** Ranks above this one are of batch work. */
const URGENT = PRIORITIES.indexOf('high');

function pick(
  job: Job,
  bins: readonly Bin[],
  input: DivisionInput,
  zoneAllowed: (zone: string) => boolean,
  lastPart: number | undefined,
): Bin | undefined {
  let best: Bin | undefined;
  let bestCost = Infinity;
  for (const bin of bins) {
    if (!zoneAllowed(bin.room.zone) || !suits(job, bin)) continue;
    let c = cost(job, bin, input, lastPart);
    if (c >= bestCost) continue;
    if (!fits(job.spec, bin.free)) {
      let room = bin.free;
      let rank = bin.byRank.length - 1;
      for (; rank > job.ownRank && !fits(job.spec, room); rank--) room = plus(room, bin.byRank[rank]!);
      if (!fits(job.spec, room)) continue;
      // By preemption: as an owner reckons it.
      c += STOP_MS + input.facts.reportMs / 2;
      // Work that is urgent itself goes only when there is no other room.
      if (rank < URGENT) c += SERVICE_VICTIM_MS;
    }
    if (c < bestCost) {
      best = bin;
      bestCost = c;
    }
  }
  return best;
}

/** Takes the task's room from the bin, by preemption of the least urgent work where it is not free. */
function take(bin: Bin, job: Job): void {
  for (let rank = bin.byRank.length - 1; rank > job.ownRank && !fits(job.spec, bin.free); rank--) {
    bin.free = plus(bin.free, bin.byRank[rank]!);
    bin.byRank[rank] = NOTHING;
  }
  bin.free = plus(bin.free, job.spec, -1);
}
