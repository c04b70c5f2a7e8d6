// The assignment of replica groups, of which all members are placed at once or none.
import type { Team } from '../cluster/cluster-config';
import { countWithinLimit } from '../cluster/quota';
import { countFitting, fitsIn } from '../cluster/resources';
import type { Job } from '../jobs/jobs';
import type { AssignmentInput, GroupPlacement, UnschedulableDemand } from './assignment-types';
import { startCostMs } from './bin-choice';
import type { GroupCandidate, GroupChoice, GroupPlanner } from './group-planner';
import { groupShapeOf } from './job-shape';
import { freeWithPreemption, type MachineBin, mayRunIn } from './machine-bin';
import { comparePlacements } from './placement-ranges';
import type { RemainingCapacity } from './remaining-capacity';
import { STOP_MS } from './start-time';
import { boundZone } from './zone-choice';

/** The replica groups of one assignment of all jobs. */
export class GroupAssignment {
  readonly placements: GroupPlacement[] = [];
  /** Names of machines that fit some members of a group of which others fit nowhere. */
  readonly partlyFittingMachines = new Set<string>();
  /** By shape of groups that did not fit: the zones in which more machines would help. Free resources only shrink. */
  readonly #zonesByUnplacedShape = new Map<string, readonly string[]>();
  /** Whether resources are held already for a group that does not fit as a whole: at most one holds any. */
  #isCapacityHeld = false;

  constructor(
    readonly input: AssignmentInput,
    readonly capacity: RemainingCapacity,
  ) {}

  /**
   * Places all members of a replica group, or none; returns the demand that stays unschedulable, or null. With
   * `mayAssign` false the assignment has reached its size: the group is not placed.
   */
  assign(job: Job, team: Team, mayAssign: boolean): UnschedulableDemand | null {
    const { groups } = this.input;
    const used = this.capacity.usedBy(team.name);
    if (groups === null || !groups.mayPlace(job) || countWithinLimit(team, used, job.spec) < job.spec.tasks)
      return null;
    const zonesOfAlike = this.#zonesByUnplacedShape.get(groupShapeOf(job));
    if (zonesOfAlike !== undefined) return { job, count: job.spec.tasks, zones: zonesOfAlike };
    const free = groups.choose(job, mayAssign ? this.#candidates(job, false) : []);
    const choice = free.missing > 0 && mayAssign ? this.#chooseWithPreemption(job, free, groups) : free;
    const lackingMembers = this.#membersWithoutGpus(job, team);
    if (choice.missing === 0 && lackingMembers === 0) {
      this.#place(job, choice);
      return null;
    }
    for (const { machine } of free.chosen) this.partlyFittingMachines.add(machine);
    if (choice.missing === 0) return { job, count: lackingMembers, zones: null };
    if (mayAssign) this.#zonesByUnplacedShape.set(groupShapeOf(job), free.zones);
    if (lackingMembers === 0) this.#holdPartialCapacity(job, free, groups);
    return { job, count: Math.max(free.missing, lackingMembers), zones: free.zones };
  }

  /** Machines in place of less urgent work too, where that may be preempted; otherwise the choice without it. */
  #chooseWithPreemption(job: Job, free: GroupChoice, groups: GroupPlanner): GroupChoice {
    return this.input.preempts ? groups.choose(job, this.#candidates(job, true)) : free;
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

  /** The machines on which members of the group could run; with `preempting`, in place of less urgent work too. */
  #candidates(job: Job, preempting: boolean): GroupCandidate[] {
    return this.capacity.bins
      .filter((bin) => mayRunIn(job, bin))
      .map((bin) => this.#candidateOf(job, bin, preempting))
      .filter(({ capacity }) => capacity > 0);
  }

  #candidateOf(job: Job, bin: MachineBin, preempting: boolean): GroupCandidate {
    const available = preempting ? freeWithPreemption(bin, job.ownPriority) : bin.free;
    const stopMs = preempting && !fitsIn(job.spec, bin.free) ? STOP_MS : 0;
    return {
      machine: bin.machine.name,
      zone: bin.machine.zone,
      capacity: countFitting(job.spec, available),
      costMs: startCostMs(job, bin, this.input, undefined) + stopMs,
    };
  }
}
