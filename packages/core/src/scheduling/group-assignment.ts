// The assignment of replica groups, of which all members are placed at once or none.
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

/** Which resources of machines count for a group. */
interface CandidateSearch {
  /** Whether those of less urgent work count too. */
  readonly preempting: boolean;
  /** Whether those are left out that earlier groups in their backoff will use. */
  readonly besideBackoffUse: boolean;
}

/** The replica groups of one assignment of all jobs. */
export class GroupAssignment {
  readonly placements: GroupPlacement[] = [];
  readonly waiting: WaitingGroup[] = [];
  /** Names of machines that fit some members of a group of which others fit nowhere. */
  readonly partlyFittingMachines = new Set<string>();
  /** By name of each machine that groups in their backoff could be placed on now: what they would use there. */
  readonly #backoffUseByMachine = new Map<string, Resources>();
  /** By shape of groups that did not fit: the zones in which more machines would help. Free resources only shrink. */
  readonly #zonesByUnplacedShape = new Map<string, readonly string[]>();
  /** Whether resources are held already for a group that does not fit as a whole: at most one holds any. */
  #isCapacityHeld = false;

  constructor(
    readonly input: AssignmentInput,
    readonly capacity: RemainingCapacity,
  ) {}

  /** Names of machines that groups could be placed on now but for their backoff. */
  get backoffMachines(): ReadonlySet<string> {
    return new Set(this.#backoffUseByMachine.keys());
  }

  /**
   * Places all members of a replica group, or none; returns the demand that stays unschedulable, or null. With
   * `mayAssign` false the assignment has reached its size: the group is not placed. Nor is one in its backoff, which
   * takes nothing from the jobs after it, but is demand for the machines that it will need.
   */
  assign(job: Job, team: Team, mayAssign: boolean): UnschedulableDemand | null {
    const { groups } = this.input;
    const isBackingOff = groups?.isBackingOff(job) === true;
    if (groups === null || (!isBackingOff && !groups.mayPlace(job))) return null;
    if (countWithinLimit(team, this.capacity.usedBy(team.name), job.spec) < job.spec.tasks) {
      this.#noteWaiting(job, 'team limit');
      return null;
    }
    const zonesOfAlike = this.#zonesByUnplacedShape.get(groupShapeOf(job));
    if (zonesOfAlike !== undefined) {
      this.#noteWaiting(job, 'no machines');
      return { job, count: job.spec.tasks, zones: zonesOfAlike };
    }
    const search = { preempting: false, besideBackoffUse: isBackingOff };
    const free = groups.choose(job, mayAssign ? this.#candidates(job, search) : []);
    const mayPreempt = free.missing > 0 && mayAssign && this.input.preempts;
    const choice = mayPreempt ? groups.choose(job, this.#candidates(job, { ...search, preempting: true })) : free;
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

  /** For how many members there are no GPUs besides those that are held back for the guarantees of other teams. */
  #membersWithoutGpus(job: Job, team: Team): number {
    const { gpus, tasks } = job.spec;
    const heldBackGpus = this.capacity.gpusHeldBackFrom(team.name);
    if (heldBackGpus === 0 || gpus === 0) return 0;
    const lackingGpus = this.capacity.gpusLackingFor(gpus * tasks, heldBackGpus);
    return Math.min(tasks, Math.ceil(lackingGpus / gpus));
  }

  /** Holds what fits some members of the first group that asks for it, so that the jobs after it leave it free. */
  #holdPartialCapacity(job: Job, { chosen }: GroupChoice, groups: GroupPlanner): void {
    if (this.#isCapacityHeld || !groups.holdsPartialCapacity(job)) return;
    this.#isCapacityHeld = true;
    for (const { machine } of chosen) this.capacity.take(this.capacity.binOf(machine), job);
  }

  #noteBackoffUse(job: Job, { chosen }: GroupChoice): void {
    this.#noteWaiting(job, 'backoff');
    for (const { machine } of chosen) {
      const used = this.#backoffUseByMachine.get(machine) ?? NO_RESOURCES;
      this.#backoffUseByMachine.set(machine, addResources(used, job.spec));
    }
  }

  #place(job: Job, { chosen }: GroupChoice): void {
    const members = chosen.map(({ machine }) => {
      const bin = this.capacity.binOf(machine);
      this.capacity.take(bin, job);
      return { partitionId: bin.partitionId, zone: boundZone(job, bin.machine.zone), term: bin.term, machine };
    });
    // Members are alike: ranks follow the places, so that the record needs one range for each place.
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

  #candidateOf(job: Job, bin: MachineBin, { preempting, besideBackoffUse }: CandidateSearch): GroupCandidate {
    const { name, zone } = bin.machine;
    const free = preempting ? freeWithPreemption(bin, job.ownPriority) : bin.free;
    const backoffUse = besideBackoffUse ? (this.#backoffUseByMachine.get(name) ?? NO_RESOURCES) : NO_RESOURCES;
    const stopMs = preempting && !fitsIn(job.spec, bin.free) ? STOP_MS : 0;
    return {
      machine: name,
      zone,
      capacity: countFitting(job.spec, subtractResources(free, backoffUse)),
      costMs: startCostMs(job, bin, this.input, undefined) + stopMs,
    };
  }
}
