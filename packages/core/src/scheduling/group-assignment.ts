// The assignment of replica groups: either all members of a group are placed at once, or none.
import type { Team } from '../cluster/cluster-config';
import { countWithinLimit } from '../cluster/quota';
import {
  addResources,
  countFitting,
  fitsIn,
  NO_RESOURCES,
  type Resources,
  subtractResources,
} from '../cluster/resources';
import type { Job } from '../jobs/jobs';
import type {
  AssignmentInput,
  GroupPlacement,
  GroupWaitReason,
  UnschedulableDemand,
  WaitingGroup,
} from './assignment-types';
import { startCostMs } from './bin-choice';
import type { GroupCandidate, GroupChoice, GroupPlanner } from './group-planner';
import { groupShapeOf } from './job-shape';
import { freeWithPreemption, type MachineBin, mayRunIn } from './machine-bin';
import { comparePlacements } from './placement-ranges';
import type { RemainingCapacity } from './remaining-capacity';
import { STOP_MS } from './start-time';
import { boundZone } from './zone-choice';

/** Which resources of machines count as available to a group. */
interface CandidateSearch {
  /** Whether resources that preempting less urgent work would free are available. */
  readonly includesPreemptable: boolean;
  /** Whether resources that earlier groups in their backoff will use are unavailable. */
  readonly excludesBackoffUse: boolean;
}

/** The replica groups of one assignment of all jobs. */
export class GroupAssignment {
  readonly placements: GroupPlacement[] = [];
  readonly waiting: WaitingGroup[] = [];
  /** Names of machines that fit members of a group that could not be placed as a whole. */
  readonly partlyFittingMachines = new Set<string>();
  /** By machine name: the resources that groups in their backoff would use there if they were placed now. */
  readonly #backoffUseByMachine = new Map<string, Resources>();
  /** By shape of groups that did not fit: zones that lack machines. None is retried: free resources only shrink. */
  readonly #zonesByUnplacedShape = new Map<string, readonly string[]>();
  /** Whether a group that does not fit as a whole holds resources already; at most one group does. */
  #isCapacityHeld = false;

  constructor(
    readonly input: AssignmentInput,
    readonly capacity: RemainingCapacity,
  ) {}

  /** Names of the machines on which groups in their backoff would fit now. */
  get backoffMachines(): ReadonlySet<string> {
    return new Set(this.#backoffUseByMachine.keys());
  }

  /**
   * Places all members of a replica group or none; returns the unschedulable demand, or null if there is none. If
   * `mayAssign` is false, the assignment is full and the group is not placed. A group in its backoff is not placed
   * either: it takes no resources from the jobs after it, but counts as demand for the machines that it will need.
   */
  assign(job: Job, team: Team, mayAssign: boolean): UnschedulableDemand | null {
    const { groups } = this.input;
    const isBackingOff = groups?.isBackingOff(job) === true;
    if (groups === null || (!isBackingOff && !groups.mayPlace(job))) return null;
    if (countWithinLimit(team, this.capacity.usedBy(team.name), job.need) < job.spec.tasks) {
      this.#noteWaiting(job, 'team limit');
      return null;
    }
    const zonesOfSameShape = this.#zonesByUnplacedShape.get(groupShapeOf(job));
    if (zonesOfSameShape !== undefined) {
      this.#noteWaiting(job, 'no machines');
      return { job, count: job.spec.tasks, zones: zonesOfSameShape };
    }
    const search = { includesPreemptable: false, excludesBackoffUse: isBackingOff };
    const free = groups.choose(job, mayAssign ? this.#candidates(job, search) : []);
    const mayPreempt = free.missing > 0 && mayAssign && this.input.preempts;
    const choice = mayPreempt
      ? groups.choose(job, this.#candidates(job, { ...search, includesPreemptable: true }))
      : free;
    const lackingMembers = this.#membersWithoutGpus(job, team);
    if (choice.missing === 0 && lackingMembers === 0) {
      if (isBackingOff) this.#noteBackoffUse(job, choice);
      else this.#place(job, choice);
      return null;
    }
    for (const { machine } of free.chosen) this.partlyFittingMachines.add(machine);
    if (choice.missing === 0) {
      this.#noteWaiting(job, 'GPUs held back');
      return { job, count: lackingMembers, zones: null };
    }
    this.#noteWaiting(job, mayAssign ? 'no machines' : 'assignment full');
    if (mayAssign) this.#zonesByUnplacedShape.set(groupShapeOf(job), free.zones);
    if (lackingMembers === 0 && !isBackingOff) this.#holdPartialCapacity(job, free, groups);
    return { job, count: Math.max(free.missing, lackingMembers), zones: free.zones };
  }

  #noteWaiting(job: Job, why: GroupWaitReason): void {
    this.waiting.push({ job, why });
  }

  /** How many members lack GPUs while other teams' GPUs are held back for their guarantees. */
  #membersWithoutGpus(job: Job, team: Team): number {
    const { gpus, tasks } = job.spec;
    const heldBackGpus = this.capacity.gpusHeldBackFrom(team.name);
    if (heldBackGpus === 0 || gpus === 0) return 0;
    const lackingGpus = this.capacity.gpusLackingFor(gpus * tasks, heldBackGpus);
    return Math.min(tasks, Math.ceil(lackingGpus / gpus));
  }

  /** Holds the resources that fit members of the first group that holds partial capacity: later jobs can't use them. */
  #holdPartialCapacity(job: Job, { chosen }: GroupChoice, groups: GroupPlanner): void {
    if (this.#isCapacityHeld || !groups.holdsPartialCapacity(job)) return;
    this.#isCapacityHeld = true;
    for (const { machine } of chosen) this.capacity.allocate(this.capacity.binOf(machine), job);
  }

  #noteBackoffUse(job: Job, { chosen }: GroupChoice): void {
    this.#noteWaiting(job, 'backoff');
    for (const { machine } of chosen) {
      const used = this.#backoffUseByMachine.get(machine) ?? NO_RESOURCES;
      this.#backoffUseByMachine.set(machine, addResources(used, job.need));
    }
  }

  #place(job: Job, { chosen }: GroupChoice): void {
    const members = chosen.map(({ machine }) => {
      const bin = this.capacity.binOf(machine);
      this.capacity.allocate(bin, job);
      return { partitionId: bin.partitionId, zone: boundZone(job, bin.machine.zone), term: bin.term, machine };
    });
    // Members are interchangeable: sorted by place, their ranks need only one range of the record for each place.
    members.sort(comparePlacements);
    this.capacity.countUse(job, members.length);
    this.placements.push({ job, members });
  }

  /** The machines on which members of the group could run. */
  #candidates(job: Job, search: CandidateSearch): GroupCandidate[] {
    return this.capacity.bins
      .filter((bin) => mayRunIn(job, bin))
      .map((bin) => this.#candidateOf(job, bin, search))
      .filter(({ capacity }) => capacity > 0);
  }

  #candidateOf(
    job: Job,
    bin: MachineBin,
    { includesPreemptable, excludesBackoffUse }: CandidateSearch,
  ): GroupCandidate {
    const { name, zone } = bin.machine;
    const free = includesPreemptable ? freeWithPreemption(bin, job.ownPriority) : bin.free;
    const backoffUse = excludesBackoffUse ? (this.#backoffUseByMachine.get(name) ?? NO_RESOURCES) : NO_RESOURCES;
    const stopMs = includesPreemptable && !fitsIn(job.need, bin.free) ? STOP_MS : 0;
    return {
      machine: name,
      zone,
      capacity: countFitting(job.need, subtractResources(free, backoffUse)),
      costMs: startCostMs(job, bin, this.input) + stopMs,
    };
  }
}
