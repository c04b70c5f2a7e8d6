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
    uses.push(...plannedUses(assignment, statuses));
  }
  return uses;
}

/** Ids of the partitions that the ranges are assigned to. */
export function partitionIdsOf(assignedRanges: readonly AssignedRange[]): number[] {
  return assignedRanges.map(({ partitionId }) => partitionId);
}

/** As many of the new ranges as fit in the job's record. The other tasks are assigned after the record has shrunk. */
function fittingRanges(context: ControllerContext, { job, added }: Assignment): AssignedRange[] {
  const fitting = [...added];
  while (fitting.length > 0 && !context.fitsValue(recordWith(job, true, fitting))) fitting.pop();
  return fitting;
}

function plannedUses({ intended }: Assignment, statuses: readonly PartitionStatus[]): PlannedUse[] {
  return intended.map(({ machine, need }) => {
    const { partitionId } = statuses.find(({ machines }) => machines.some(({ name }) => name === machine))!;
    return { partitionId, machine, need };
  });
}
