// Checks, while a scenario runs, the conditions that prevent `ran_twice`: they fail long before a task runs twice.
import type { PartitionOwner } from '@gingerlock/daemon';
import { type TaskEntry, tasksAssignedTo } from '@gingerlock/core';
import { jobRecord, type JobRecord, KEYS, parseTaskName, type AssignedRange } from '@gingerlock/wire';
import type { InspectableWorld } from './audited-world';

/** The parts of a deployment that the ownership audit reads. */
export interface OwnershipAuditedWorld extends InspectableWorld {
  /** Whether the task has finished for good. */
  isDone(taskName: string): boolean;
}

function isInRange({ from, count }: AssignedRange, taskIndex: number): boolean {
  return taskIndex >= from && taskIndex < from + count;
}

/** Audits the task states of owners and the assignments of the leader against where tasks run. */
export class OwnershipAudit {
  /** Parsed job records, by key. */
  readonly #records = new Map<string, { readonly version: number; readonly record: JobRecord }>();

  constructor(readonly world: OwnershipAuditedWorld) {}

  /** Checks all tasks. Called periodically. */
  audit(): void {
    for (const { controller } of this.world.nodes) {
      for (const owner of controller?.owned() ?? []) this.#checkClaims(owner);
    }
    for (const [taskName, machine] of this.world.runningTasks()) this.#checkAssigned(taskName, machine);
  }

  /** Checks a controller that answers a worker with status 200 as the owner of the worker's partition. */
  checkAnswer(node: string, owner: PartitionOwner): void {
    const { ownershipTerm, context } = owner;
    const copy = context.clusterState.owners.get(ownershipTerm.resource);
    if (copy?.version === ownershipTerm.version) return;
    this.world.reportViolation(
      'deposed_owner',
      `${node} answers for partition ${owner.partitionId} under term ${ownershipTerm.term}`,
    );
  }

  #checkClaims(owner: PartitionOwner): void {
    const { ownershipTerm, claimTable } = owner;
    const isOwner = this.world.state.data.get(KEYS.owner(ownershipTerm.resource))?.version === ownershipTerm.version;
    for (const tasksByIndex of claimTable.tasksByJob.values()) {
      for (const task of tasksByIndex.values()) {
        if (task.state === 'waiting') this.#checkZone(owner, task);
        if (isOwner && this.#mayStartOrReturn(owner.partitionId, task)) this.#checkNotRunning(task);
      }
    }
  }

  /** Checks that the newest job record that the owner has read assigns the waiting task to it, and for its zone. */
  #checkZone({ claimTable, partitionId }: PartitionOwner, { job, index, name, zone }: TaskEntry): void {
    const assigned = tasksAssignedTo(job, partitionId, claimTable.term).get(index);
    if (assigned?.zone === zone) return;
    this.world.reportViolation('stale_entry', `${name} waits for zone ${zone}, assigned zone is ${assigned?.zone}`);
  }

  /**
   * Whether the owner may start the task or return it. Once the job record no longer assigns a returning task to the
   * partition, the task may run elsewhere before this owner has read the record.
   */
  #mayStartOrReturn(partitionId: number, { job, index, state }: TaskEntry): boolean {
    if (state !== 'returning') return state === 'waiting';
    const record = this.#recordOf(job.id);
    return (
      record?.final === null &&
      record.assignedRanges.some((range) => range.partitionId === partitionId && isInRange(range, index))
    );
  }

  /** Checks that a task that may be started or returned does not run. */
  #checkNotRunning({ name, state }: TaskEntry): void {
    const machine = this.world.runningTasks().get(name);
    if (machine !== undefined)
      this.world.reportViolation('free_but_running', `${name} is ${state} but runs on ${machine}`);
  }

  /** Checks that a running task is assigned to a partition, as the leader may assign an unassigned one to any. */
  #checkAssigned(taskName: string, machine: string): void {
    const { job, index } = parseTaskName(taskName)!;
    const record = this.#recordOf(job);
    if (record === null || this.world.isDone(taskName)) return;
    const isAssigned = record.final === null && record.assignedRanges.some((range) => isInRange(range, index));
    if (!isAssigned)
      this.world.reportViolation('free_but_running', `${taskName} is not assigned but runs on ${machine}`);
  }

  #recordOf(job: string): JobRecord | null {
    const key = KEYS.job(job);
    const entry = this.world.state.data.get(key);
    if (entry === undefined) return null;
    const known = this.#records.get(key);
    if (known?.version === entry.version) return known.record;
    const record = jobRecord.read(entry.value);
    this.#records.set(key, { version: entry.version, record });
    return record;
  }
}
