// The reclaim planner's view of the tasks that machines hold, made from what the owners reported to the leader.
import {
  addResources,
  type ClusterConfig,
  type Job,
  type MachineStatus,
  NO_RESOURCES,
  type PartitionStatus,
  type Resources,
  SUSPECT_INTERVALS,
} from '@gingerlock/core';
import { parseTaskName, type ReclaimRecord } from '@gingerlock/wire';
import type { HeldTask, MachineClaims, PartitionClaims, TaskAttempt } from './claims';
import { type Candidate, isStoppable } from './victims';

/** A machine on which tasks may be preempted. */
export interface ReclaimMachine {
  readonly status: MachineStatus;
  readonly partitionId: number;
  /** The term of the partition's owner. */
  readonly term: number;
  /** The tasks that it holds, without the victims of reclaims in progress. */
  readonly candidates: readonly Candidate[];
  readonly free: Resources;
}

/** Input of the view. `PlannerInput` describes the fields. */
export interface ClaimsViewInput {
  readonly clusterConfig: ClusterConfig;
  readonly jobs: ReadonlyMap<string, Job>;
  readonly statuses: readonly PartitionStatus[];
  readonly free: ReadonlyMap<string, Resources>;
  readonly claims: readonly PartitionClaims[];
  readonly pending: readonly ReclaimRecord[];
}

/** Which tasks surely run, and on which machines tasks may be preempted. */
export class ClaimsView {
  /** By team: the resources of the tasks that run or fetch on healthy machines and are not being stopped. */
  readonly surelyRunning = new Map<string, Resources>();
  /** By name: the machines on which tasks may be preempted. */
  readonly machinesByName = new Map<string, ReclaimMachine>();
  /** The victims of reclaims in progress. */
  readonly #victimKeys: ReadonlySet<string>;
  /** Machines with a reclaim in progress: a second one could count on the same resources. */
  readonly #busyMachines: ReadonlySet<string>;

  constructor(readonly input: ClaimsViewInput) {
    this.#victimKeys = new Set(input.pending.flatMap((reclaim) => reclaim.victims.map(keyOf)));
    this.#busyMachines = new Set(input.pending.map((reclaim) => reclaim.machine));
    const claimsByPartition = new Map(input.claims.map((claims) => [claims.partitionId, claims]));
    for (const status of input.statuses) {
      const claims = claimsByPartition.get(status.partitionId);
      if (claims?.term !== status.term) continue;
      const statusByName = new Map(status.machines.map((machine) => [machine.name, machine]));
      for (const machine of claims.machines) this.#add(machine, statusByName.get(machine.machine), status);
    }
  }

  #add(
    { machine, held }: MachineClaims,
    status: MachineStatus | undefined,
    { partitionId, term }: PartitionStatus,
  ): void {
    if (status === undefined || !isHealthy(status, this.input.clusterConfig)) return;
    const candidates = held.flatMap((task) => this.#candidateOf(task) ?? []);
    for (const candidate of candidates) {
      if (!isStoppable(candidate)) continue;
      const { spec, need } = candidate.job;
      this.surelyRunning.set(spec.team, addResources(this.surelyRunning.get(spec.team) ?? NO_RESOURCES, need));
    }
    const free = this.input.free.get(machine);
    if (free === undefined || this.#busyMachines.has(machine)) return;
    this.machinesByName.set(machine, { status, partitionId, term, candidates, free });
  }

  #candidateOf(held: HeldTask): Candidate | null {
    const name = parseTaskName(held.task);
    const job = this.input.jobs.get(name?.job ?? '');
    // A task may be recorded as finished after the owner reported it. Counting it as running would overstate its team's
    // use.
    if (name === null || job === undefined || job.isFinished(name.index)) return null;
    return this.#victimKeys.has(keyOf(held)) ? null : { held, job };
  }
}

/** Whether the machine is expected to keep running. Tasks on an unhealthy machine may have stopped or may stop soon. */
function isHealthy(status: MachineStatus, clusterConfig: ClusterConfig): boolean {
  const isSuspect = status.silentMs > clusterConfig.heartbeatIntervalMs * SUSPECT_INTERVALS;
  return !isSuspect && !status.draining && !status.evictionNotice && !status.isQuarantined;
}

function keyOf({ task, attempt }: TaskAttempt): string {
  return `${task} ${attempt}`;
}
