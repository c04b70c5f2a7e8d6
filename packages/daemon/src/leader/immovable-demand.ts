// Demand of assigned tasks that can't be moved to a partition with free resources, because the record of their job is
// too large to be written.
import { findImmovableDemand, type Job, type PartitionStatus, type UnschedulableDemand } from '@gingerlock/core';
import type { ControllerContext } from '../controller/controller-context';
import { recordOf } from './job-batch';

/** Estimated upper bound of the size of an assigned range; records that fit by this estimate are not encoded. */
const LARGEST_RANGE_BYTES = 128;

/** Tasks for which machines have to be scaled out in the partition that they are assigned to. */
export function immovableDemand(
  context: ControllerContext,
  statuses: readonly PartitionStatus[],
): UnschedulableDemand[] {
  const { clusterState, clusterConfig } = context;
  if (clusterState.partitioner === null) return [];
  return findImmovableDemand({
    jobs: clusterState.jobs.live.values(),
    statuses,
    types: clusterState.types,
    partitioner: clusterState.partitioner,
    zones: clusterConfig.zones,
    isRecordTooLarge: (job) => isRecordTooLarge(context, job),
  });
}

/** Whether the job's record stays too large to be written whichever partition's assigned ranges are removed from it. */
function isRecordTooLarge(context: ControllerContext, job: Job): boolean {
  if (job.assignedRanges.length * LARGEST_RANGE_BYTES < context.settings.valueBytes) return false;
  return [...new Set(job.assignedRanges.map(({ partitionId }) => partitionId))].every((partitionId) => {
    const assignedRanges = job.assignedRanges.filter((range) => range.partitionId !== partitionId);
    return !context.fitsValue(recordOf(job, job.isCrashLooping, assignedRanges));
  });
}
