// Checks each start of a task: the task runs on one machine only, the job allows the machine, the team's limit and the
// machine's capacity hold, all awaited jobs are done, and the job is not cancelled.
import type { Resources } from '@gingerlock/core';
import { type JobSpec, parseTaskName } from '@gingerlock/wire';
import type { TaskTracker } from '../simulation/task-tracker';
import type { ObservedStatus } from '../standins/users';
import type { SimWorker } from '../standins/worker';
import type { AuditedWorld } from './audited-world';

/** The parts of a deployment that the placement audit reads. */
export interface PlacementAuditedWorld extends AuditedWorld {
  readonly tasks: TaskTracker;
  readonly users: {
    readonly observedByJob: ReadonlyMap<string, ObservedStatus>;
    /** Whether all jobs that the job awaits have completed. */
    isReady(observed: ObservedStatus): boolean;
  };
  readonly network: { isFrozen(host: string): boolean };
  /** The GPU limit of each team. */
  readonly gpusMax: number;
  capacityOfType(type: string): Resources;
}

/** Tolerance for the rounding error of summed resources. */
const ROUNDING_TOLERANCE = 1e-9;

/** An owner may start a task for `cancel_s` divided by this after it last read the jobs. */
const OWNER_VIEWS_PER_BOUND = 10;

/** How long a worker acts on an answer of its owner. */
const ANSWER_VALID_MS = 4000;

/** Audits where and when tasks run. */
export class PlacementAudit {
  /** The maximum number of GPUs that a team has used. */
  peakGpus = 0;
  /** The longest time that a task ran after the user received the answer that the job is cancelled. */
  longestCancelledMs = 0;

  constructor(readonly world: PlacementAuditedWorld) {}

  /** Checks that a new start command has not reached a worker too long after the job's cancellation. */
  checkCommand(taskName: string): void {
    const { world } = this;
    const cancelledAt = world.users.observedByJob.get(parseTaskName(taskName)?.job ?? '')?.cancelledAt ?? null;
    if (cancelledAt === null) return;
    world.recordOccurrence('started though cancelled');
    const boundMs = world.cancellationBoundMs / OWNER_VIEWS_PER_BOUND + ANSWER_VALID_MS;
    if (world.sim.now - cancelledAt > boundMs) world.reportViolation('start_cancelled', taskName);
  }

  /** Checks that a task about to start on the machine runs on no other. */
  checkRunsOnce(taskName: string, machine: string): void {
    const other = this.world.tasks.machineByTask.get(taskName);
    if (other !== undefined && other !== machine)
      this.world.reportViolation('ran_twice', `${taskName} on ${machine} and ${other}`);
  }

  /** Checks a task that has just started on the machine. */
  checkStart(taskName: string, machine: string, spec: JobSpec): void {
    const worker = this.world.workers.get(machine)!;
    this.#checkMachine(taskName, worker, spec);
    this.#checkZones(worker, spec);
    this.#checkUse(worker, spec);
    this.#checkDependencies(taskName, spec);
    this.#checkCancelled(taskName, machine);
  }

  #checkMachine(taskName: string, { zone, spot, type }: SimWorker, spec: JobSpec): void {
    const { world } = this;
    if (spec.zone !== null && spec.zone !== zone) world.reportViolation('wrong_place', `${taskName} in zone ${zone}`);
    if (spot && !spec.spot) world.reportViolation('wrong_place', `${taskName} on a spot machine`);
    if (spec.types?.includes(type) === false) world.reportViolation('wrong_place', `${taskName} on type ${type}`);
  }

  #checkZones(worker: SimWorker, { id, oneZone, spread, tasks }: JobSpec): void {
    const { world } = this;
    const machines = [...world.tasks.runningOf(id)].map((taskName) => world.tasks.machineByTask.get(taskName)!);
    const zones = machines.map((machine) => world.workers.get(machine)?.zone);
    if (oneZone && new Set(zones).size > 1) world.reportViolation('wrong_place', `${id} in ${zones.join()}`);
    if (spread && zones.filter((zone) => zone === worker.zone).length > Math.ceil(tasks / 2))
      world.reportViolation('wrong_place', `${id} not spread: ${zones.join()}`);
  }

  #checkUse({ name, type }: SimWorker, { team }: JobSpec): void {
    const { world } = this;
    const gpus = world.tasks.gpusOfTeam(team);
    this.peakGpus = Math.max(this.peakGpus, gpus);
    if (gpus > world.gpusMax + ROUNDING_TOLERANCE) world.reportViolation('quota', `team ${team} uses ${gpus}`);
    const used = world.tasks.gpusOnMachine(name);
    if (used > world.capacityOfType(type).gpus + ROUNDING_TOLERANCE)
      world.reportViolation('overcommitted', `${name}: ${used} GPUs`);
  }

  #checkDependencies(taskName: string, { id, awaits }: JobSpec): void {
    const { users } = this.world;
    if (!users.isReady(users.observedByJob.get(id)!))
      this.world.reportViolation('too_early', `${taskName} started before one of ${awaits.join()} was done`);
  }

  #checkCancelled(taskName: string, machine: string): void {
    const { world } = this;
    const { cancelledAt } = world.users.observedByJob.get(parseTaskName(taskName)!.job)!;
    if (cancelledAt === null) return;
    const sinceMs = world.sim.now - cancelledAt;
    this.longestCancelledMs = Math.max(this.longestCancelledMs, sinceMs);
    if (sinceMs <= world.cancellationBoundMs) return;
    const suffix = world.network.isFrozen(machine) ? ', which hangs' : '';
    world.reportViolation('ran_cancelled', `${taskName} on ${machine}${suffix}`);
  }

  /** Checks how long tasks of cancelled jobs have been running. Called periodically. */
  audit(): void {
    for (const [taskName, machine] of this.world.tasks.machineByTask) this.#checkCancelled(taskName, machine);
  }
}
