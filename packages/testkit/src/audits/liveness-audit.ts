// Checks progress once all faults are over: tasks start when resources are free, machines rented for waiting tasks are
// used, and status requests are answered.
import { type Resources, fitsIn, needOf, countFitting, allowsMachine, subtractResources } from '@gingerlock/core';
import { type JobSpec, jobRecord, KEYS, parseTaskName } from '@gingerlock/wire';
import type { ObservedStatus } from '../standins/users';
import type { SimWorker } from '../standins/worker';
import type { InspectableWorld } from './audited-world';

/** The parts of a deployment that the liveness audit reads. */
export interface LivenessAuditedWorld extends InspectableWorld {
  readonly users: {
    readonly observedByJob: ReadonlyMap<string, ObservedStatus>;
    open(): readonly ObservedStatus[];
    isUnwanted(observed: ObservedStatus): boolean;
    isReady(observed: ObservedStatus): boolean;
  };
  /** When the last fault of the scenario ends. */
  readonly quietAt: number;
  /** The GPU limit of each team. */
  readonly gpusMax: number;
  /** How long a replica group may take from one state to the next. */
  readonly groupBoundMs: number;
  isGroup(job: string): boolean;
  /** Machines that were at fault at any time. */
  readonly everUnhealthy: ReadonlySet<string>;
  /** Whether the job was submitted with a mistake. */
  isBroken(id: string): boolean;
  /** The number of finished tasks of the job. */
  doneOf(id: string): number;
  capacityOfType(type: string): Resources;
}

/**
 * How long a job may wait although resources are free, as a multiple of `cancel_s`: its tasks are not started again
 * while earlier attempts may still run.
 */
const WAIT_CANCELS = 2;

/** A machine counts as reachable if its last answered heartbeat is at most this many intervals old. */
const REACHABLE_INTERVALS = 2;

/** How long a user may go without an answer. Users ask about every two seconds, with a timeout of 5 s. */
const UNANSWERED_MS = 30_000;

/** How many suitable machines in a row may come up and be returned unused while the same job waits. */
const MAX_UNUSED_RENTALS = 2;

/** Audits that jobs make progress. */
export class LivenessAudit {
  /** By job: since when a task could have started but none did, and the number of starts until then. */
  readonly #waiting = new Map<string, { since: number; started: number }>();
  /** By job: the number of its task starts. */
  readonly #startsByJob = new Map<string, number>();
  /** By job: the number of suitable machines that were returned unused since one of its tasks last started. */
  readonly #unusedRentals = new Map<string, number>();
  /** By job: since when its group has been waiting although all members fit and the team's limit allows them. */
  #groupFitsSince: ReadonlyMap<string, number> = new Map();
  readonly #usedMachines = new Set<string>();
  /** By machine: when it came up. */
  readonly #upSince = new Map<string, number>();

  constructor(readonly world: LivenessAuditedWorld) {}

  /** Records that a machine has come up. */
  machineUp(machine: string): void {
    this.#upSince.set(machine, this.world.sim.now);
  }

  /** Records that a task of the job has started on the machine. */
  taskStarted(job: string, machine: string): void {
    this.#startsByJob.set(job, (this.#startsByJob.get(job) ?? 0) + 1);
    this.#unusedRentals.delete(job);
    this.#usedMachines.add(machine);
  }

  /** Checks a machine that the controllers return to the cloud. */
  machineReturned(worker: SimWorker): void {
    this.#checkNeededByGroup(worker);
    this.#checkUnusedRental(worker);
  }

  /**
   * Checks that each group that has waited for a heartbeat interval and fits on the running machines also fits without
   * this one, as the cloud may have no replacement. Machines that are unreachable, were unhealthy or have an eviction
   * notice may be returned at any time.
   */
  #checkNeededByGroup(worker: SimWorker): void {
    const { world } = this;
    const intervalMs = world.heartbeatIntervalMs;
    const isUsable =
      worker.leaseAgeMs <= intervalMs * REACHABLE_INTERVALS &&
      worker.noticeS === null &&
      !world.everUnhealthy.has(worker.name);
    if (world.sim.now < world.quietAt + intervalMs || !isUsable) return;
    for (const observed of world.users.open()) {
      const { id } = observed.spec;
      const fitsSince = this.#groupFitsSince.get(id) ?? Infinity;
      if (world.sim.now - fitsSince < intervalMs || !this.#isWaitingGroupThatFits(observed)) continue;
      if (!this.#couldStartGroup(observed.spec, worker))
        world.reportViolation('group_machine_returned', `${id} waits, ${worker.name} is returned`);
    }
  }

  #isWaitingGroupThatFits(observed: ObservedStatus): boolean {
    const { spec } = observed;
    return (
      this.world.isGroup(spec.id) &&
      this.#hasPendingTask(observed) &&
      this.#assignedTasksOf(spec.id) === 0 &&
      this.#isWithinLimit(spec) &&
      this.#couldStartGroup(spec)
    );
  }

  /** Updates since when each group has been waiting although it fits on the running machines and its team's limit. */
  #updateFittingGroups(): void {
    const { now } = this.world.sim;
    const fitting = this.world.users.open().filter((observed) => this.#isWaitingGroupThatFits(observed));
    const since = fitting.map(({ spec: { id } }) => [id, this.#groupFitsSince.get(id) ?? now] as const);
    this.#groupFitsSince = new Map(since);
  }

  #checkUnusedRental(worker: SimWorker): void {
    const { world } = this;
    const upSince = this.#upSince.get(worker.name) ?? -Infinity;
    if (upSince < world.quietAt || this.#usedMachines.has(worker.name)) return;
    for (const observed of world.users.open()) {
      const { id } = observed.spec;
      // Count only jobs that could have started ever since the machine came up: a team near its limit may start one
      // more task only for short periods.
      const waitsSince = this.#waiting.get(id)?.since ?? Infinity;
      if (waitsSince > upSince + world.heartbeatIntervalMs || !this.#hasPendingTask(observed) || world.isGroup(id))
        continue;
      if (!this.#isWithinLimit(observed.spec) || !this.#couldStartOn(worker, observed.spec, this.#zonesOf(id)))
        continue;
      const times = (this.#unusedRentals.get(id) ?? 0) + 1;
      this.#unusedRentals.set(id, times);
      if (times === MAX_UNUSED_RENTALS + 1)
        world.reportViolation('rented_in_vain', `${id} waits, ${worker.name} is returned`);
    }
  }

  /** Checks for lack of progress; `quietAt` is when the last fault ended. Called periodically. */
  audit(quietAt: number): void {
    const { world } = this;
    const { now } = world.sim;
    if (now < quietAt) return;
    this.#updateFittingGroups();
    for (const observed of world.users.open()) {
      const { id } = observed.spec;
      if (now - Math.max(observed.answeredAt, quietAt) > UNANSWERED_MS) world.reportViolation('unanswered', id);
      if (!this.#hasPendingTask(observed) || !this.#couldStart(observed.spec)) {
        this.#waiting.delete(id);
        continue;
      }
      this.#auditWaiting(observed.spec);
    }
  }

  #auditWaiting(spec: JobSpec): void {
    const { world } = this;
    const { now } = world.sim;
    const started = this.#startsByJob.get(spec.id) ?? 0;
    const known = this.#waiting.get(spec.id);
    if (known?.started !== started) {
      this.#waiting.set(spec.id, { since: now, started });
      return;
    }
    const pauseMs = world.isGroup(spec.id) ? world.groupBoundMs : 0;
    if (now - known.since <= world.cancellationBoundMs * WAIT_CANCELS + pauseMs) return;
    if (this.#isWithinLimit(spec)) world.reportViolation('left_waiting', `${spec.id} since ${Math.round(known.since)}`);
    this.#waiting.set(spec.id, { since: now, started });
  }

  /** Whether the job has a task that could start, given free resources and room under the team's limit. */
  #hasPendingTask(observed: ObservedStatus): boolean {
    const { world } = this;
    const { id, tasks } = observed.spec;
    return (
      this.#machinesOf(id).length + world.doneOf(id) < tasks &&
      !world.users.isUnwanted(observed) &&
      !world.isBroken(id) &&
      world.users.isReady(observed)
    );
  }

  /** The machine of each running task of the job. */
  #machinesOf(id: string): string[] {
    return [...this.world.runningTasks()]
      .filter(([taskName]) => taskName.startsWith(`${id}/`))
      .map(([, machine]) => machine);
  }

  /**
   * Whether the team's limit allows one more task of the job, or all members of a replica group. The team's other jobs
   * count with their assigned tasks, which use the limit before they run. The job itself counts with its running tasks,
   * as its assigned tasks may be those that wait.
   */
  #isWithinLimit(spec: JobSpec): boolean {
    const { world } = this;
    let gpus = this.#machinesOf(spec.id).length * spec.gpus;
    for (const observed of world.users.observedByJob.values()) {
      const { id, team, gpus: gpusPerTask } = observed.spec;
      if (team === spec.team && id !== spec.id) gpus += gpusPerTask * this.#assignedTasksOf(id);
    }
    const nextGpus = world.isGroup(spec.id) ? spec.gpus * spec.tasks : spec.gpus;
    return gpus + nextGpus <= world.gpusMax;
  }

  /** The number of unfinished tasks that the job's stored record assigns. */
  #assignedTasksOf(id: string): number {
    const stored = this.world.state.data.get(KEYS.job(id));
    const record = stored === undefined ? null : jobRecord.read(stored.value);
    if (record === null || record.final !== null) return 0;
    const assigned = record.assignedRanges.reduce((sum, { count }) => sum + count, 0);
    return Math.max(0, assigned - this.world.doneOf(id));
  }

  /** Whether a task of the job, or all members of a replica group together, could start now. */
  #couldStart(spec: JobSpec): boolean {
    const { world } = this;
    let gpus = 0;
    for (const taskName of world.runningTasks().keys()) {
      const running = world.job(parseTaskName(taskName)!.job)!;
      if (running.team === spec.team) gpus += running.gpus;
    }
    // A replica group starts all members together.
    if (world.isGroup(spec.id)) return gpus + spec.gpus * spec.tasks <= world.gpusMax && this.#couldStartGroup(spec);
    if (gpus + spec.gpus > world.gpusMax) return false;
    const zones = this.#zonesOf(spec.id);
    return [...world.workers.values()].some((worker) => this.#couldStartOn(worker, spec, zones));
  }

  /** Whether all members fit together on the running machines, excluding `without`. */
  #couldStartGroup(spec: JobSpec, without?: SimWorker): boolean {
    const byZone = new Map<string, number>();
    for (const worker of this.world.workers.values()) {
      if (worker === without || !allowsMachine(spec, worker.type, worker.zone, worker.spot)) continue;
      const members = countFitting(needOf(spec), this.#freeOn(worker));
      byZone.set(worker.zone, (byZone.get(worker.zone) ?? 0) + members);
    }
    const counts = [...byZone.values()];
    if (spec.oneZone) return counts.some((members) => members >= spec.tasks);
    const maxPerZone = spec.spread ? Math.ceil(spec.tasks / 2) : spec.tasks;
    return counts.reduce((sum, members) => sum + Math.min(members, maxPerZone), 0) >= spec.tasks;
  }

  /** The zone of each running task of the job. */
  #zonesOf(id: string): (string | undefined)[] {
    return this.#machinesOf(id).map((machine) => this.world.workers.get(machine)?.zone);
  }

  #couldStartOn(worker: SimWorker, spec: JobSpec, zones: readonly (string | undefined)[]): boolean {
    if (!allowsMachine(spec, worker.type, worker.zone, worker.spot)) return false;
    if (spec.oneZone && zones.some((zone) => zone !== worker.zone)) return false;
    const inZone = zones.filter((zone) => zone === worker.zone).length;
    if (spec.spread && inZone >= Math.ceil(spec.tasks / 2)) return false;
    return fitsIn(needOf(spec), this.#freeOn(worker));
  }

  /** The free resources of the machine. */
  #freeOn(worker: SimWorker): Resources {
    const { world } = this;
    let available = world.capacityOfType(worker.type);
    for (const { state, task: taskName } of worker.tasks.values()) {
      const spec = state === 'exited' ? undefined : world.job(parseTaskName(taskName)!.job);
      if (spec !== undefined) available = subtractResources(available, needOf(spec));
    }
    return available;
  }
}
