// Converts placements into the assigned ranges of a job's record.
import type { AssignedRange } from '@gingerlock/wire';
import { mergeRanges } from '../jobs/assigned-ranges';
import type { Placement } from './assignment-types';

/** Orders placements by partition, then by zone, those bound to no zone first. */
export function comparePlacements(a: Placement, b: Placement): number {
  return a.partitionId - b.partitionId || (a.zone ?? '').localeCompare(b.zone ?? '');
}

/**
 * Pairs the tasks, which are interchangeable, with the placements so that tasks in one place have consecutive indices.
 * One range for each place instead of each task keeps the record of a large job within the store's limit on values.
 */
export function assignedRangesOf(indices: readonly number[], placements: readonly Placement[]): AssignedRange[] {
  const sorted = [...placements].sort(comparePlacements);
  return mergeRanges(sorted.map((placement, i) => ({ from: indices[i]!, count: 1, ...placement })));
}
