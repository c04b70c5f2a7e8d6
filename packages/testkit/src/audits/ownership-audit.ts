// Checks the statements on which `ran_twice` rests, while a scenario runs: they break long before a task starts twice.
import type { PartitionOwner } from '@gingerlock/daemon';
import { type TaskEntry, tasksAssignedTo } from '@gingerlock/core';
import { jobRecord, type JobRecord, KEYS, parseTaskName, type AssignedRange } from '@gingerlock/wire';
import type { InspectableWorld } from './audited-world';

/** What is audited of a deployment. */
export interface OwnershipAuditedWorld extends InspectableWorld {
  /** Whether the task is done for good. */
  isDone(taskName: string): boolean;
}

function isIn({ from, count }: AssignedRange, taskIndex: number): boolean {
  return taskIndex >= from && taskIndex < from + count;
}

/** Audits what owners and the leader believe of tasks against where these run. */
export class OwnershipAudit {
  /** Records of jobs as they were parsed last, by key. */
  readonly #records = new Map<string, { readonly version: number; readonly record: JobRecord }>();

  constructor(readonly world: OwnershipAuditedWorld) {}

  /** Checks all tasks; to be called periodically. */
  audit(): void {
    for (const { controller } of this.world.nodes) {
      for (const owner of controller?.owned() ?? []) this.#checkClaims(owner);
    }
    for (const [taskName, machine] of this.world.runningTasks()) this.#checkAssigned(taskName, machine);
  }

  /** A worker is being answered with 200 by a controller that takes itself for the owner of the worker's partition. */
  answered(node: string, owner: PartitionOwner): void {
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
        if (task.state === 'waiting') this.#checkPlace(owner, task);
        if (isOwner && this.#isFree(owner.partitionId, task)) this.#checkFree(task);
      }
    }
  }

  /** What waits to be started is what the newest record that was read says. */
  #checkPlace({ claimTable, partitionId }: PartitionOwner, { job, index, name, zone }: TaskEntry): void {
    const assigned = tasksAssignedTo(job, partitionId, claimTable.term).get(index);
    if (assigned?.zone === zone) return;
    this.world.reportViolation('stale_entry', `${name} waits for zone ${zone}, its record says ${assigned?.zone}`);
  }

  /**
   * Whether the task may be started by its owner or returned by it. One that is leaving is neither any more once
   * the record has been written without it: it may run elsewhere before its former partition has read that.
   */
  #isFree(partitionId: number, { job, index, state }: TaskEntry): boolean {
    if (state !== 'returning') return state === 'waiting';
    const record = this.#recordOf(job.id);
    return (
      record?.final === null &&
      record.assignedRanges.some((range) => range.partitionId === partitionId && isIn(range, index))
    );
  }

  /** What may be started, or returned to be started elsewhere, runs nowhere. */
  #checkFree({ name, state }: TaskEntry): void {
    const machine = this.world.runningTasks().get(name);
    if (machine !== undefined) this.world.reportViolation('free_but_running', `${name} is ${state} and on ${machine}`);
  }

  /** What is assigned to no partition runs nowhere: the leader may assign it to any. */
  #checkAssigned(taskName: string, machine: string): void {
    const { job, index } = parseTaskName(taskName)!;
    const record = this.#recordOf(job);
    if (record === null || this.world.isDone(taskName)) return;
    const isAssigned = record.final === null && record.assignedRanges.some((range) => isIn(range, index));
    if (!isAssigned)
      this.world.reportViolation('free_but_running', `${taskName} is assigned nowhere and on ${machine}`);
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
