// The leader's assignment of waiting tasks to partitions by the free resources of their machines, within the limits and
// guarantees of teams.
import type { Team } from '../cluster/cluster-config';
import { countWithinGuarantee } from '../cluster/quota';
import { fitsIn } from '../cluster/resources';
import { countAssignedUnfinished, countUnfinishedIn } from '../jobs/assigned-usage';
import { type Job, jobOrder } from '../jobs/jobs';
import type {
  Assignment,
  AssignmentInput,
  AssignmentResult,
  IntendedUse,
  Placement,
  UnschedulableDemand,
} from './assignment-types';
import { chooseBin } from './bin-choice';
import { GroupAssignment } from './group-assignment';
import { JobBinSearch } from './job-bin-search';
import { taskShapeIn } from './job-shape';
import type { MachineBin } from './machine-bin';
import { assignedRangesOf } from './placement-ranges';
import { mustBeProbed } from './probe-policy';
import { RemainingCapacity } from './remaining-capacity';
import { bestZone, ZoneChoice } from './zone-choice';

/** Ranges of a job's tasks that are not assigned: pairs of the first index and the count. */
type WaitingRanges = readonly [number, number][];

/** The placements found for one job's tasks. */
interface JobPlacements {
  readonly indices: number[];
  readonly placements: Placement[];
  readonly intended: IntendedUse[];
  /** How many tasks the team's limit allows but fit on no machine. */
  missing: number;
}

/** How many tasks of a job were placed, and how many fitted on no machine. */
type PlacedCounts = Readonly<Record<'placed' | 'missing', number>>;

/** Assigns the waiting tasks of all jobs, the most urgent first, within the limits of their teams. */
export function assignTasks(input: AssignmentInput): AssignmentResult {
  const jobs = [...input.jobs];
  const run = new AssignmentRun(input, jobs);
  const ordered = jobs.filter((job) => job.isReady && !job.isCancelled).sort(jobOrder);
  if (input.heldBack !== null) for (const job of ordered) run.assignWithinGuarantee(job);
  for (const job of ordered) run.assign(job);
  return run.result();
}

/** How many unfinished tasks of the job wait, counted from a task index on. */
function countWaitingFrom(job: Job, waiting: WaitingRanges, index: number): number {
  return waiting.reduce((sum, [from, count]) => {
    const first = Math.max(from, index);
    return sum + countUnfinishedIn(job, { from: first, count: Math.max(0, from + count - first) });
  }, 0);
}

/** One assignment of all jobs: its results so far and the remaining capacity. */
class AssignmentRun {
  readonly #assignments: Assignment[] = [];
  readonly #unschedulable: UnschedulableDemand[] = [];
  readonly #capacity: RemainingCapacity;
  readonly #groups: GroupAssignment;
  /** Shapes of tasks that fit on no machine in some zones. Free resources only shrink: the search is not repeated. */
  readonly #unplacedShapes = new Set<string>();
  /** By job id: the counts of the pass that assigns tasks within their teams' guarantees. */
  readonly #withinGuaranteeByJob = new Map<string, PlacedCounts>();

  constructor(
    readonly input: AssignmentInput,
    jobs: readonly Job[],
  ) {
    this.#capacity = new RemainingCapacity(input, jobs);
    this.#groups = new GroupAssignment(input, this.#capacity);
  }

  /** The result so far. */
  result(): AssignmentResult {
    return {
      assignments: this.#assignments,
      unschedulable: this.#unschedulable,
      groups: this.#groups.placements,
      waitingGroups: this.#groups.waiting,
      partlyFittingMachines: this.#groups.partlyFittingMachines,
      backoffMachines: this.#groups.backoffMachines,
      free: this.#capacity.freeByMachine(),
    };
  }

  /** Assigns the job's waiting tasks as far as they fit and its team's limit allows. */
  assign(job: Job): void {
    const waiting = job.unassigned();
    const team = this.#teamOf(job);
    // A team that was removed from the settings is assigned no more tasks; its assigned tasks are not affected.
    if (waiting.length === 0 || team === undefined) return;
    if (job.isGroup) {
      this.#assignGroup(job, team);
      return;
    }
    const withinGuarantee = this.#withinGuaranteeByJob.get(job.id);
    if (withinGuarantee !== undefined) {
      this.#countRestAsUnschedulable(job, waiting, team, withinGuarantee);
      return;
    }
    const allowed = this.#capacity.countAllowed(job, team);
    if (allowed === 0) return;
    const zones = this.#zonesFor(job);
    if (mustBeProbed(job, this.input.probes)) this.#assignProbe(job, waiting, zones);
    else this.#assignTasks(job, waiting, allowed, zones, this.#capacity.gpusHeldBackFrom(team.name));
  }

  /** Assigns the job's waiting tasks within its team's guarantee; a later assignment places the rest. */
  assignWithinGuarantee(job: Job): void {
    const waiting = job.unassigned();
    const team = this.#teamOf(job);
    if (waiting.length === 0 || team === undefined || job.isGroup || mustBeProbed(job, this.input.probes)) return;
    const used = this.#capacity.usedBy(team.name);
    const allowed = Math.min(this.#capacity.countAllowed(job, team), countWithinGuarantee(team, used, job.need));
    if (allowed === 0) return;
    this.#withinGuaranteeByJob.set(job.id, this.#assignTasks(job, waiting, allowed, this.#zonesFor(job), 0));
  }

  #teamOf(job: Job): Team | undefined {
    return this.input.clusterConfig.teams.get(job.spec.team);
  }

  #zonesFor(job: Job): ZoneChoice {
    return new ZoneChoice(job, () => {
      const fitsNowhere = this.#unplacedShapes.has(taskShapeIn(job, this.#capacity.zones));
      return bestZone(job, fitsNowhere ? [] : this.#capacity.bins);
    });
  }

  #assignGroup(job: Job, team: Team): void {
    const mayAssign = this.#assignments.length + this.#groups.placements.length < this.input.maxAssignments;
    const unschedulable = this.#groups.assign(job, team, mayAssign);
    if (unschedulable !== null) this.#unschedulable.push(unschedulable);
  }

  #assignTasks(
    job: Job,
    waiting: WaitingRanges,
    allowed: number,
    zones: ZoneChoice,
    heldBackGpus: number,
  ): PlacedCounts {
    const found = this.#findPlacements(job, waiting, allowed, zones, heldBackGpus);
    const { indices, placements, intended } = found;
    this.#capacity.countUse(job, placements.length);
    const missing = this.#capacity.countDemand(job, found.missing);
    if (placements.length > 0) this.#assignments.push({ job, added: assignedRangesOf(indices, placements), intended });
    if (missing > 0)
      this.#unschedulable.push({ job, count: missing, zones: zones.openZones(this.input.clusterConfig.zones) });
    return { placed: placements.length, missing };
  }

  /** Counts the rest of the job as unschedulable if its tasks within the team's guarantee fitted on no machine. */
  #countRestAsUnschedulable(job: Job, waiting: WaitingRanges, team: Team, { placed, missing }: PlacedCounts): void {
    if (placed > 0 || missing === 0) return;
    const waitingCount = countWaitingFrom(job, waiting, 0);
    const allowed = this.#capacity.countAllowed(job, team);
    const rest = this.#capacity.countDemand(job, Math.min(waitingCount - missing, allowed));
    const index = this.#unschedulable.findIndex((entry) => entry.job === job);
    if (rest <= 0 || index < 0) return;
    this.#unschedulable[index] = { ...this.#unschedulable[index]!, count: missing + rest };
  }

  /**
   * Assigns one task of a crash-looping job to free resources, if a probe is due. A probe preempts nothing, creates no
   * demand for machines, and goes to another partition than the last probe if possible.
   */
  #assignProbe(job: Job, waiting: WaitingRanges, zones: ZoneChoice): void {
    const { probes, now, maxAssignments } = this.input;
    if (countAssignedUnfinished(job) > 0 || !probes.mayProbe(job.id, now) || this.#assignments.length >= maxAssignments)
      return;
    const bin = this.#probeBin(job, zones);
    if (bin === undefined) return;
    this.#capacity.allocate(bin, job);
    const placement = { partitionId: bin.partitionId, zone: zones.placeTask(bin.machine.zone), term: bin.term };
    this.#capacity.countUse(job, 1);
    this.#assignments.push({
      job,
      added: assignedRangesOf([waiting[0]![0]], [placement]),
      intended: [{ machine: bin.machine.name, need: job.need }],
    });
  }

  #probeBin(job: Job, zones: ZoneChoice): MachineBin | undefined {
    const fitting = this.#capacity.bins.filter((bin) => fitsIn(job.need, bin.free));
    const lastPartitionId = this.input.probes.lastPartitionId(job.id);
    const elsewhere = fitting.filter((bin) => bin.partitionId !== lastPartitionId);
    const choose = (bins: readonly MachineBin[]): MachineBin | undefined =>
      chooseBin(job, bins, this.input, (zone) => zones.allows(zone), undefined);
    return choose(elsewhere) ?? choose(fitting);
  }

  #findPlacements(
    job: Job,
    waiting: WaitingRanges,
    allowed: number,
    zones: ZoneChoice,
    heldBackGpus: number,
  ): JobPlacements {
    const found: JobPlacements = { indices: [], placements: [], intended: [], missing: 0 };
    const search = new JobBinSearch(job, this.#capacity.bins, this.input, (zone) => zones.allows(zone));
    for (const [from, count] of waiting) {
      for (let index = from; index < from + count; index++) {
        if (job.isFinished(index)) continue;
        if (found.placements.length >= allowed) return found;
        const bin = this.#isHeldBack(job, heldBackGpus) ? undefined : this.#binFor(job, zones, search, found);
        if (bin === undefined) {
          // Tasks of one job are alike: if one fits nowhere, the rest does not either.
          found.missing = Math.min(countWaitingFrom(job, waiting, index), allowed - found.placements.length);
          return found;
        }
        this.#capacity.allocate(bin, job);
        found.indices.push(index);
        found.placements.push({
          partitionId: bin.partitionId,
          zone: zones.placeTask(bin.machine.zone),
          term: bin.term,
        });
        found.intended.push({ machine: bin.machine.name, need: job.need });
      }
    }
    return found;
  }

  /** Whether one more task would use GPUs that are held back for the guarantees of other teams. */
  #isHeldBack(job: Job, heldBackGpus: number): boolean {
    const { gpus } = job.spec;
    return heldBackGpus > 0 && gpus > 0 && this.#capacity.wouldLeaveFewerGpus(gpus, heldBackGpus);
  }

  #binFor(job: Job, zones: ZoneChoice, search: JobBinSearch, { placements }: JobPlacements): MachineBin | undefined {
    if (this.#assignments.length >= this.input.maxAssignments) return undefined;
    const shape = (): string =>
      taskShapeIn(
        job,
        this.#capacity.zones.filter((zone) => zones.allows(zone)),
      );
    if (placements.length === 0 && this.#unplacedShapes.has(shape())) return undefined;
    const lastPartitionId = placements.at(-1)?.partitionId ?? job.assignedRanges.at(-1)?.partitionId;
    const bin = search.choose(lastPartitionId);
    // Other jobs of its shape may still fit if they may go to other zones.
    if (bin === undefined) this.#unplacedShapes.add(shape());
    return bin;
  }
}
