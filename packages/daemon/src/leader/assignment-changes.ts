// Turns assignments into changes of job records. Each change is conditional on the version of the job's record and on
// the owners of the partitions that the assignment names.
import type { Assignment, PartitionStatus } from '@gingerlock/core';
import type { AssignedRange } from '@gingerlock/wire';
import type { ControllerContext } from '../controller/controller-context';
import type { CrashLoopProbes } from './crash-loop-probes';
import { type JobBatch, recordWith } from './job-batch';
import type { PlannedUse } from './pending-assignments';

/**
 * Adds assignments to the batch until it is full. Skips and logs jobs whose record is too large. Returns the resources
 * that the added assignments will use.
 */
export function addAssignments(
  context: ControllerContext,
  batch: JobBatch,
  probes: CrashLoopProbes,
  assignments: readonly Assignment[],
  statuses: readonly PartitionStatus[],
): PlannedUse[] {
  const uses: PlannedUse[] = [];
  const partitionByMachine = partitionsByMachine(statuses);
  for (const assignment of assignments) {
    const { job } = assignment;
    if (batch.jobs.has(job.id)) continue;
    const added = fittingRanges(context, assignment);
    if (added.length === 0) {
      context.log.error({ job: job.id, assignedRanges: job.assignedRanges.length }, 'record too large, not assigned');
      continue;
    }
    if (!batch.requireOwners(context.clusterState.owners, partitionIdsOf(added))) return uses;
    if (!batch.put(job, recordWith(job, probes.mustBeProbed(job), added))) return uses;
    for (const { machine, need } of assignment.intended)
      uses.push({ partitionId: partitionByMachine.get(machine)!, machine, need });
  }
  return uses;
}

/** Ids of the partitions that the ranges are assigned to. */
export function partitionIdsOf(assignedRanges: readonly AssignedRange[]): number[] {
  return assignedRanges.map(({ partitionId }) => partitionId);
}

/** As many of the new ranges as fit in the job's record. The other tasks are assigned after the record has shrunk. */
function fittingRanges(context: ControllerContext, { job, added }: Assignment): AssignedRange[] {
  const doFit = (count: number): boolean => context.fitsValue(recordWith(job, true, added.slice(0, count)));
  return added.slice(0, largestFittingCount(added.length, doFit));
}

/**
 * The largest count up to `max` that fits, provided that what fits also fits with fewer. Tries counts from the top in
 * steps that double, and then bisects.
 */
function largestFittingCount(max: number, doFit: (count: number) => boolean): number {
  let tooMany = max + 1;
  let count = max;
  for (let step = 1; count > 0 && !doFit(count); step *= 2) {
    tooMany = count;
    count = Math.max(0, count - step);
  }
  while (tooMany - count > 1) {
    const middle = Math.floor((count + tooMany) / 2);
    if (doFit(middle)) count = middle;
    else tooMany = middle;
  }
  return count;
}

function partitionsByMachine(statuses: readonly PartitionStatus[]): Map<string, number> {
  const partitionByMachine = new Map<string, number>();
  for (const { partitionId, machines } of statuses)
    for (const { name } of machines) partitionByMachine.set(name, partitionId);
  return partitionByMachine;
}
