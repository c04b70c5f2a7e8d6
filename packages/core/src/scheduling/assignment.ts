// The leader's assignment of waiting tasks among the parts by free room, with the arithmetic of team limits and zones.
import { type MachineType, PRIORITIES, type AssignedRange } from '@gingerlock/wire';
import {
  type Resources,
  fitsIn,
  NO_RESOURCES,
  addResources,
  countFitting,
  subtractResources,
} from '../cluster/resources';
import { type ClusterConfig, type Team } from '../cluster/cluster-config';
import { countWithinGuarantee, countWithinLimit } from '../cluster/quota';
import { allowsMachine } from '../cluster/placement-constraints';
import type { GroupCandidate, GroupChoice, GroupPlanner } from './group-planner';
import { type Job, jobOrder } from '../jobs/jobs';
import { assignedUnfinished, spreadCap, teamUse, unfinishedIn } from '../jobs/assigned-usage';
import { mergeRanges } from '../jobs/assigned-ranges';
import { fetchMs, SERVICE_VICTIM_MS, STOP_MS } from './start-time';

/** What a part's owner says of one machine. */
export interface MachineStatus {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** What its worker called its session last: a new owner needs it to show its term. */
  readonly agentEpoch: number;
  /** Left after its claims and after the waiting tasks that the owner expects to bind here. */
  readonly free: Resources;
  /** What stopping its claims of each rank would free, and what waiting tasks of that rank are expected to take. */
  readonly byPriority: readonly Resources[];
  readonly images: readonly string[];
  readonly takesWork: boolean;
  readonly draining: boolean;
  readonly evictionNotice: boolean;
  readonly isQuarantined: boolean;
  /** It surely holds no task; see `machineUse`. */
  readonly empty: boolean;
  /** How long it has been empty. */
  readonly emptyMs: number;
  /** Since its last report that was answered. */
  readonly silentMs: number;
}

export interface PartitionStatus {
  readonly partitionId: number;
  readonly term: number;
  /** The owner's replica stood at this revision: later assignments are not in it yet. */
  readonly revision: number;
  readonly machines: readonly MachineStatus[];
  /** What the tasks add up to that a new owner has been waiting to hear of for longer than machines take to report. */
  readonly missing: Resources;
  readonly running: readonly (readonly [string, number])[];
}

export interface Assignment {
  readonly job: Job;
  /** What is added to the rounds of its record. */
  readonly added: readonly AssignedRange[];
  /** Which machine each task was meant for: counted against its room until the owner's summary shows it. */
  readonly intended: readonly { machine: string; need: Resources }[];
}

/** Tasks that have no room anywhere, though their team's limit allows them. */
export interface UnschedulableDemand {
  readonly job: Job;
  readonly count: number;
  /** Zones it may go to; null: any. */
  readonly zones: readonly string[] | null;
}

/** When tasks of failing jobs are tried; see `TrialSchedule`. */
export interface ProbePolicy {
  isProven(job: string): boolean;
  mayProbe(job: string, now: number): boolean;
  lastPartitionId(job: string): number | null;
}

/** Where all members of a replica group are to run. */
export interface GroupPlacement {
  readonly job: Job;
  /** By rank. */
  readonly members: readonly (Placement & { readonly machine: string })[];
}

export interface AssignmentInput {
  readonly now: number;
  readonly probes: ProbePolicy;
  readonly jobs: Iterable<Job>;
  readonly statuses: readonly PartitionStatus[];
  /** Assignments that a summary may not show yet. */
  readonly pendingAssignments: readonly { revision: number; machine: string; partitionId: number; need: Resources }[];
  readonly clusterConfig: ClusterConfig;
  readonly types: ReadonlyMap<string, MachineType>;
  readonly maxAssignments: number;
  /** Whether tasks may be assigned to room that is got by stopping work of lower priority. */
  readonly preempts: boolean;
  /**
   * By team: GPUs of its guarantee that it has work for and does not use, which others' work beyond their guarantees leaves free. Work
   * within a guarantee then goes first. Null: guarantees have no part in the order.
   */
  readonly heldBack: ReadonlyMap<string, number> | null;
  /** Null: there are no replica groups. */
  readonly groups: GroupPlanner | null;
}

/** What one assignment of all jobs came to. */
export interface AssignmentResult {
  readonly assignments: readonly Assignment[];
  readonly unschedulable: readonly UnschedulableDemand[];
  readonly groups: readonly GroupPlacement[];
  /** Machines with room for some members of a group that lacks room for others. */
  readonly partlyFittingMachines: ReadonlySet<string>;
  /** By machine that takes work: what it has left. */
  readonly free: ReadonlyMap<string, Resources>;
}

interface MachineBin {
  readonly machine: MachineStatus;
  readonly partitionId: number;
  readonly term: number;
  free: Resources;
  byPriority: Resources[];
}

/**
 * How many tasks of the job may be in each zone now. Those that are finished are off their machines: counted with the
 * others, they once bound the rest of a job of one zone to a zone that had lost its machines.
 */
function zoneCounts(job: Job): Map<string, number> {
  const counts = new Map<string, number>();
  for (const range of job.assignedRanges) {
    const n = unfinishedIn(job, range);
    if (range.zone !== null && n > 0) counts.set(range.zone, (counts.get(range.zone) ?? 0) + n);
  }
  return counts;
}

/** Whether the job failed wherever it was started, and no trial has shown since that it can run. */
export function mustBeProbed(job: Job, probes: ProbePolicy): boolean {
  return job.isCrashLooping && !probes.isProven(job.id);
}

/** Finds room for the waiting tasks of all jobs, the most urgent first, within the limits of their teams. */
export function assignTasks(input: AssignmentInput): AssignmentResult {
  const jobs = [...input.jobs];
  const run = new AssignmentRun(input, jobs);
  const ordered = jobs.filter((j) => j.ready && !j.cancelled).sort(jobOrder);
  if (input.heldBack !== null) for (const job of ordered) run.assignWithinGuarantee(job);
  for (const job of ordered) run.assign(job);
  return {
    assignments: run.assignments,
    unschedulable: run.unschedulable,
    groups: run.groups,
    partlyFittingMachines: run.partlyFittingMachines,
    free: run.free(),
  };
}

/** What is free on the machines that take work, less what earlier assignments will take there. */
function machineBinsOf({ statuses, pendingAssignments }: AssignmentInput): MachineBin[] {
  const bins: MachineBin[] = [];
  for (const { machines, partitionId, term, revision } of statuses) {
    for (const machine of machines) {
      if (!machine.takesWork) continue;
      let { free } = machine;
      for (const r of pendingAssignments) {
        if (r.partitionId === partitionId && r.machine === machine.name && r.revision > revision)
          free = subtractResources(free, r.need);
      }
      bins.push({ machine, partitionId, term, free, byPriority: [...machine.byPriority] });
    }
  }
  return bins;
}

/** The places found for one job's tasks. */
interface JobPlacements {
  readonly indices: number[];
  readonly placements: Placement[];
  readonly intended: { machine: string; need: Resources }[];
  /** Tasks that the team's limit allows and that found no room. */
  missing: number;
}

/** Which zones one job's tasks may go to, given those that it has tasks in. */
export class ZoneChoice {
  readonly #counts: Map<string, number>;
  readonly #cap: number;
  /** The only zone; null: none is chosen. */
  #only: string | null;

  /** `bestZone` is where a job of one zone goes that has no task in any yet. */
  constructor(
    readonly job: Job,
    bestZone: () => string | null,
  ) {
    this.#counts = zoneCounts(job);
    this.#cap = spreadCap(job);
    this.#only = job.spec.oneZone ? ([...this.#counts.keys()][0] ?? bestZone()) : null;
  }

  allows(zone: string): boolean {
    return (this.#only === null || zone === this.#only) && !this.#isFull(zone);
  }

  #isFull(zone: string): boolean {
    return this.job.spec.spread && (this.#counts.get(zone) ?? 0) >= this.#cap;
  }

  /** Puts one more task into the zone of a machine; returns the zone that it is bound to, null for any. */
  take(machineZone: string): string | null {
    const { spread, oneZone, zone: asked } = this.job.spec;
    const zone = spread || oneZone ? machineZone : asked;
    // With no free room anywhere no zone was the best: the first task that gets room by preemption binds the rest.
    if (oneZone) this.#only = zone;
    if (zone !== null) this.#counts.set(zone, (this.#counts.get(zone) ?? 0) + 1);
    return zone;
  }

  /** The zones that further tasks may go to; null: any. */
  open(zones: readonly string[]): readonly string[] | null {
    const only = this.#only ?? this.job.spec.zone;
    if (only !== null) return [only];
    return this.job.spec.spread ? zones.filter((zone) => !this.#isFull(zone)) : null;
  }
}

/** One assignment of all jobs, and what it has used up so far. */
class AssignmentRun {
  readonly assignments: Assignment[] = [];
  readonly unschedulable: UnschedulableDemand[] = [];
  readonly groups: GroupPlacement[] = [];
  readonly partlyFittingMachines = new Set<string>();
  /** Shapes of groups that found no room, with the zones in which room would be of use: rooms only shrink. */
  readonly #groupShapesWithoutRoom = new Map<string, readonly string[]>();
  /** Whether a group keeps room already that is not enough for it: at most one does. */
  #isCapacityHeld = false;
  readonly #bins: MachineBin[];
  readonly #usedByTeam: Map<string, Resources>;
  /** Shapes of tasks for which there is no room left: rooms only shrink, so nobody looks for them again. */
  readonly #shapesWithoutRoom = new Set<string>();
  /** Jobs of which tasks within their team's guarantee were looked at: how many found room, and how many did not. */
  readonly #placedWithinGuarantee = new Map<string, { readonly placed: number; readonly missing: number }>();
  /** GPUs that are free on all machines together. */
  #freeGpus: number;

  constructor(
    readonly input: AssignmentInput,
    jobs: readonly Job[],
  ) {
    this.#bins = machineBinsOf(input);
    this.#usedByTeam = teamUse(jobs);
    this.#freeGpus = this.#bins.reduce((sum, bin) => sum + Math.max(0, bin.free.gpus), 0);
  }

  free(): ReadonlyMap<string, Resources> {
    return new Map(this.#bins.map((bin) => [bin.machine.name, bin.free]));
  }

  assign(job: Job): void {
    const ranges = job.unassigned();
    const team = this.input.clusterConfig.teams.get(job.spec.team);
    // A team that is gone from the settings gets no more room; what it had goes on.
    if (ranges.length === 0 || team === undefined) return;
    if (job.isGroup) {
      this.#assignGroup(job, team);
      return;
    }
    const begun = this.#placedWithinGuarantee.get(job.id);
    if (begun !== undefined) {
      this.#missRest(job, ranges, team, begun);
      return;
    }
    const allowed = countWithinLimit(team, this.#usedByTeam.get(team.name) ?? NO_RESOURCES, job.spec);
    if (allowed === 0) return;
    const zones = new ZoneChoice(job, () => bestZone(job, this.#bins));
    if (mustBeProbed(job, this.input.probes)) this.#assignProbe(job, ranges, zones);
    else this.#assignTasks(job, ranges, allowed, zones, this.#heldBackFrom(team));
  }

  /** Assigns as many of the job's tasks as its team is guaranteed; those beyond are for a later assignment. */
  assignWithinGuarantee(job: Job): void {
    const ranges = job.unassigned();
    const team = this.input.clusterConfig.teams.get(job.spec.team);
    if (ranges.length === 0 || team === undefined || job.isGroup || mustBeProbed(job, this.input.probes)) return;
    const used = this.#usedByTeam.get(team.name) ?? NO_RESOURCES;
    const allowed = Math.min(countWithinLimit(team, used, job.spec), countWithinGuarantee(team, used, job.spec));
    if (allowed === 0) return;
    const zones = new ZoneChoice(job, () => bestZone(job, this.#bins));
    this.#placedWithinGuarantee.set(job.id, this.#assignTasks(job, ranges, allowed, zones, 0));
  }

  #assignTasks(
    job: Job,
    ranges: readonly [number, number][],
    allowed: number,
    zones: ZoneChoice,
    heldBackGpus: number,
  ): { placed: number; missing: number } {
    const { indices, placements, intended, missing } = this.#findPlacements(job, ranges, allowed, zones, heldBackGpus);
    const { team } = job.spec;
    this.#usedByTeam.set(
      team,
      addResources(this.#usedByTeam.get(team) ?? NO_RESOURCES, job.spec, placements.length + missing),
    );
    if (placements.length > 0) this.assignments.push({ job, added: assignedRangesOf(indices, placements), intended });
    if (missing > 0)
      this.unschedulable.push({ job, count: missing, zones: zones.open(this.input.clusterConfig.zones) });
    return { placed: placements.length, missing };
  }

  /** Where not even what the team is guaranteed found room, there is none for the rest of the job. */
  #missRest(
    job: Job,
    ranges: readonly [number, number][],
    team: Team,
    { placed, missing }: { placed: number; missing: number },
  ): void {
    if (placed > 0 || missing === 0) return;
    const used = this.#usedByTeam.get(team.name) ?? NO_RESOURCES;
    const waiting = ranges.reduce((sum, [from, count]) => sum + unfinishedIn(job, { from, count }), 0);
    const rest = Math.min(waiting - missing, countWithinLimit(team, used, job.spec));
    const at = this.unschedulable.findIndex((entry) => entry.job === job);
    if (rest <= 0 || at < 0) return;
    this.unschedulable[at] = { ...this.unschedulable[at]!, count: missing + rest };
    this.#usedByTeam.set(team.name, addResources(used, job.spec, rest));
  }

  /** Assigns all members of a replica group, or none. */
  #assignGroup(job: Job, team: Team): void {
    const { groups, maxAssignments: most, preempts } = this.input;
    const used = this.#usedByTeam.get(team.name) ?? NO_RESOURCES;
    if (groups === null || !groups.mayPlace(job) || countWithinLimit(team, used, job.spec) < job.spec.tasks) return;
    const needGpus = job.spec.gpus * job.spec.tasks;
    const isHeldBack = needGpus > 0 && this.#freeGpus - needGpus < this.#heldBackFrom(team);
    const isFree = !isHeldBack && this.assignments.length + this.groups.length < most;
    const shape = groupShapeOf(job);
    const zonesOfLike = this.#groupShapesWithoutRoom.get(shape);
    if (zonesOfLike !== undefined) {
      this.unschedulable.push({ job, count: job.spec.tasks, zones: zonesOfLike });
      return;
    }
    const free = groups.choose(job, isFree ? this.#candidates(job, false) : []);
    const choice = free.missing > 0 && isFree && preempts ? groups.choose(job, this.#candidates(job, true)) : free;
    if (choice.missing === 0) {
      this.#placeGroup(job, choice);
      return;
    }
    this.unschedulable.push({ job, count: free.missing, zones: free.zones });
    if (isFree) this.#groupShapesWithoutRoom.set(shape, free.zones);
    for (const { machine } of free.chosen) this.partlyFittingMachines.add(machine);
    if (this.#isCapacityHeld || !groups.holdsPartialCapacity(job)) return;
    this.#isCapacityHeld = true;
    for (const { machine } of free.chosen) this.#take(this.#binOf(machine), job);
  }

  #placeGroup(job: Job, { chosen }: GroupChoice): void {
    const members = chosen.map(({ machine }) => {
      const bin = this.#binOf(machine);
      this.#take(bin, job);
      const { spread, oneZone, zone: asked } = job.spec;
      return {
        partitionId: bin.partitionId,
        zone: spread || oneZone ? bin.machine.zone : asked,
        term: bin.term,
        machine,
      };
    });
    // Members are alike: ranks follow the places, so that the record needs one round for each place.
    members.sort((a, b) => a.partitionId - b.partitionId || (a.zone ?? '').localeCompare(b.zone ?? ''));
    this.#usedByTeam.set(
      job.spec.team,
      addResources(this.#usedByTeam.get(job.spec.team) ?? NO_RESOURCES, job.spec, members.length),
    );
    this.groups.push({ job, members });
  }

  #binOf(machine: string): MachineBin {
    return this.#bins.find((bin) => bin.machine.name === machine)!;
  }

  /** The machines on which members of the group could run; with `preempting`, in place of less urgent work too. */
  #candidates(job: Job, preempting: boolean): GroupCandidate[] {
    return this.#bins
      .filter((bin) => suits(job, bin))
      .map((bin) => {
        const capacity = countFitting(job.spec, preempting ? freeWithout(bin, job.ownPriority) : bin.free);
        const stopMs = preempting && !fitsIn(job.spec, bin.free) ? STOP_MS : 0;
        const ms = cost(job, bin, this.input, undefined) + stopMs;
        return { machine: bin.machine.name, zone: bin.machine.zone, capacity, cost: ms };
      })
      .filter(({ capacity }) => capacity > 0);
  }

  /** GPUs that are to stay free for the guarantees of other teams. */
  #heldBackFrom(team: Team): number {
    let gpus = 0;
    for (const [name, held] of this.input.heldBack ?? []) if (name !== team.name) gpus += held;
    return gpus;
  }

  /** One task of a failing job goes to free room. It stops nobody and asks for no machine, and its next trial goes elsewhere. */
  #assignProbe(job: Job, ranges: readonly [number, number][], zones: ZoneChoice): void {
    const { input } = this;
    const { probes, now } = input;
    if (assignedUnfinished(job) > 0 || !probes.mayProbe(job.id, now) || this.assignments.length >= input.maxAssignments)
      return;
    const free = this.#bins.filter((bin) => fitsIn(job.spec, bin.free));
    const last = probes.lastPartitionId(job.id);
    const allows = (zone: string): boolean => zones.allows(zone);
    const elsewhere = free.filter((bin) => bin.partitionId !== last);
    const bin = pick(job, elsewhere, input, allows, undefined) ?? pick(job, free, input, allows, undefined);
    if (bin === undefined) return;
    this.#take(bin, job);
    const placement = { partitionId: bin.partitionId, zone: zones.take(bin.machine.zone), term: bin.term };
    const intended = [{ machine: bin.machine.name, need: job.spec }];
    this.#usedByTeam.set(job.spec.team, addResources(this.#usedByTeam.get(job.spec.team) ?? NO_RESOURCES, job.spec));
    this.assignments.push({ job, added: assignedRangesOf([ranges[0]![0]], [placement]), intended });
  }

  #findPlacements(
    job: Job,
    ranges: readonly [number, number][],
    allowed: number,
    zones: ZoneChoice,
    heldBackGpus: number,
  ): JobPlacements {
    const found: JobPlacements = { indices: [], placements: [], intended: [], missing: 0 };
    for (const [from, count] of ranges) {
      for (let index = from; index < from + count; index++) {
        if (job.isFinished(index)) continue;
        if (found.placements.length + found.missing >= allowed) return found;
        const isHeldBack = heldBackGpus > 0 && job.spec.gpus > 0 && this.#freeGpus - job.spec.gpus < heldBackGpus;
        const bin = isHeldBack ? undefined : this.#binFor(job, zones, found);
        if (bin === undefined) {
          found.missing++;
          continue;
        }
        this.#take(bin, job);
        found.indices.push(index);
        found.placements.push({ partitionId: bin.partitionId, zone: zones.take(bin.machine.zone), term: bin.term });
        found.intended.push({ machine: bin.machine.name, need: job.spec });
      }
    }
    return found;
  }

  #take(bin: MachineBin, job: Job): void {
    this.#freeGpus -= job.spec.gpus;
    take(bin, job);
  }

  #binFor(job: Job, zones: ZoneChoice, { placements, missing }: JobPlacements): MachineBin | undefined {
    const { input } = this;
    if (missing > 0 || this.assignments.length >= input.maxAssignments) return undefined;
    const shape = shapeOf(job);
    if (this.#shapesWithoutRoom.has(shape)) return undefined;
    const lastPartitionId = placements.at(-1)?.partitionId ?? job.assignedRanges.at(-1)?.partitionId;
    const bin = pick(job, this.#bins, input, (zone) => zones.allows(zone), lastPartitionId);
    // With zones of its own to keep to, it says nothing of others.
    if (bin === undefined && !job.spec.spread && !job.spec.oneZone) this.#shapesWithoutRoom.add(shape);
    return bin;
  }
}

/** Where one more task of a job is to run. */
export type Placement = Omit<AssignedRange, 'from' | 'count'>;

/**
 * Shares out the tasks, which are all alike, so that those of one place follow each other: one round for each place
 * instead of one for each task keeps the record of a large job within the limit on values.
 */
export function assignedRangesOf(indices: readonly number[], placements: readonly Placement[]): AssignedRange[] {
  const sorted = [...placements].sort(
    (a, b) => a.partitionId - b.partitionId || (a.zone ?? '').localeCompare(b.zone ?? ''),
  );
  return mergeRanges(sorted.map((placement, i) => ({ from: indices[i]!, count: 1, ...placement })));
}

function shapeOf({ ownPriority, spec }: Job): string {
  return [ownPriority, spec.cpus, spec.gpus, spec.memoryGb, spec.zone, spec.spot, ...(spec.types ?? [])].join();
}

/** Groups of one shape all have room or none; one that avoids a machine still waits for the next assignment. */
function groupShapeOf(job: Job): string {
  const { tasks, spread, oneZone } = job.spec;
  return [shapeOf(job), tasks, spread, oneZone].join();
}

function suits(job: Job, bin: MachineBin): boolean {
  return allowsMachine(job.spec, bin.machine.type, bin.machine.zone, bin.machine.spot);
}

/** The zone in which most tasks of the job fit now. */
function bestZone(job: Job, bins: readonly MachineBin[]): string | null {
  const byZone = new Map<string, number>();
  for (const bin of bins) {
    if (!suits(job, bin) || !fitsIn(job.spec, bin.free)) continue;
    byZone.set(bin.machine.zone, (byZone.get(bin.machine.zone) ?? 0) + bin.free.gpus + bin.free.cpus / 1000);
  }
  let best: string | null = job.spec.zone;
  for (const [zone, free] of byZone) if (best === null || free > (byZone.get(best) ?? 0)) best = zone;
  return best;
}

/**
 * Tasks of an array that go to another partition than the one before them count as this part of a report interval later:
 * each partition writes its finished tasks itself, and its last ones are a step more until the job is done.
 */
const APART = 4;

/** How soon the task would run there, in milliseconds, with ties broken towards what is fuller already. */
function cost(job: Job, bin: MachineBin, input: AssignmentInput, lastPartitionId: number | undefined): number {
  const type = input.types.get(bin.machine.type);
  const fetch = fetchMs(job.spec.imageGb, bin.machine.images.includes(job.spec.image), type);
  // Ordinary machines are dear: work that may run on spot goes there unless it would wait for longer than this.
  const kind = job.spec.spot && !bin.machine.spot ? input.clusterConfig.heartbeatIntervalMs * 2 : 0;
  const tight = type === undefined || type.gpus <= 0 ? 0 : bin.free.gpus / type.gpus;
  const apart =
    job.spec.kind === 'array' && lastPartitionId !== undefined && lastPartitionId !== bin.partitionId
      ? input.clusterConfig.heartbeatIntervalMs / APART
      : 0;
  return fetch + kind + apart + (input.clusterConfig.heartbeatIntervalMs / 10) * tight;
}

/** Ranks above this one are of batch work. */
const URGENT = PRIORITIES.indexOf('high');

function pick(
  job: Job,
  bins: readonly MachineBin[],
  input: AssignmentInput,
  zoneAllowed: (zone: string) => boolean,
  lastPartitionId: number | undefined,
): MachineBin | undefined {
  let best: MachineBin | undefined;
  let bestCost = Infinity;
  for (const bin of bins) {
    if (!zoneAllowed(bin.machine.zone) || !suits(job, bin)) continue;
    let c = cost(job, bin, input, lastPartitionId);
    if (c >= bestCost) continue;
    if (!fitsIn(job.spec, bin.free)) {
      if (!input.preempts) continue;
      let available = bin.free;
      let priority = bin.byPriority.length - 1;
      for (; priority > job.ownPriority && !fitsIn(job.spec, available); priority--)
        available = addResources(available, bin.byPriority[priority]!);
      if (!fitsIn(job.spec, available)) continue;
      // By preemption: as an owner reckons it.
      c += STOP_MS + input.clusterConfig.heartbeatIntervalMs / 2;
      // Work that is urgent itself goes only when there is no other room.
      if (priority < URGENT) c += SERVICE_VICTIM_MS;
    }
    if (c < bestCost) {
      best = bin;
      bestCost = c;
    }
  }
  return best;
}

/** What the bin has without all work that is less urgent. */
function freeWithout(bin: MachineBin, ownPriority: number): Resources {
  return bin.byPriority.slice(ownPriority + 1).reduce((sum, resources) => addResources(sum, resources), bin.free);
}

/** Takes the task's room from the bin, by preemption of the least urgent work where it is not free. */
function take(bin: MachineBin, job: Job): void {
  for (
    let priority = bin.byPriority.length - 1;
    priority > job.ownPriority && !fitsIn(job.spec, bin.free);
    priority--
  ) {
    bin.free = addResources(bin.free, bin.byPriority[priority]!);
    bin.byPriority[priority] = NO_RESOURCES;
  }
  bin.free = subtractResources(bin.free, job.spec);
}
