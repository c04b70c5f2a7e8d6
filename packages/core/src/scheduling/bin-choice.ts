// The leader's choice of a machine for a task: the one that would run it soonest.
import { PRIORITIES } from '@gingerlock/wire';
import { fitsIn } from '../cluster/resources';
import type { Job } from '../jobs/jobs';
import type { AssignmentInput } from './assignment-types';
import { type MachineBin, mayRunIn, leastUrgentPriorityKept } from './machine-bin';
import { fetchMs, SERVICE_VICTIM_MS, STOP_MS } from './start-time';
import { tightnessCostMs } from './tightness';

/**
 * An array task in another partition than the task before it costs a heartbeat interval divided by this number: each
 * partition writes its own finished tasks, so a further partition adds a step before the job is done.
 */
const OTHER_PARTITION_INTERVAL_DIVISOR = 4;

/** Cost of an ordinary machine for work that may run on cheaper spot machines, in heartbeat intervals. */
const SPOT_PREFERENCE_INTERVALS = 2;

/** Index of the least urgent priority that is not batch work. */
const URGENT_PRIORITY = PRIORITIES.indexOf('high');

/** Input for the choice of a bin, apart from the job and the bins. */
export type ChoiceContext = Pick<AssignmentInput, 'types' | 'clusterConfig' | 'preempts'>;

/**
 * The cost of a bin for a task that fits there: the estimated time until it runs there, in milliseconds, plus
 * penalties; a fuller machine wins a tie.
 */
export function startCostMs(
  job: Job,
  { machine, free }: MachineBin,
  { types, clusterConfig: { heartbeatIntervalMs } }: ChoiceContext,
): number {
  const { spec } = job;
  const type = types.get(machine.type);
  const imageMs = fetchMs(spec.imageGb, machine.images.includes(spec.image), type);
  const ordinaryMs = spec.spot && !machine.spot ? heartbeatIntervalMs * SPOT_PREFERENCE_INTERVALS : 0;
  return imageMs + ordinaryMs + tightnessCostMs(heartbeatIntervalMs, free, type);
}

/**
 * The cost of a partition for a task, in milliseconds. `lastPartitionId` is the partition of the task before it;
 * undefined: there is none.
 */
export function otherPartitionCostMs(
  job: Job,
  partitionId: number,
  { clusterConfig: { heartbeatIntervalMs } }: ChoiceContext,
  lastPartitionId: number | undefined,
): number {
  const isOtherPartition =
    job.spec.kind === 'array' && lastPartitionId !== undefined && lastPartitionId !== partitionId;
  return isOtherPartition ? heartbeatIntervalMs / OTHER_PARTITION_INTERVAL_DIVISOR : 0;
}

/** The cost of a bin for a task, with preemption if it does not fit there otherwise; Infinity: it does not fit. */
export function startOrPreemptionCostMs(job: Job, bin: MachineBin, context: ChoiceContext): number {
  const costMs = startCostMs(job, bin, context);
  return fitsIn(job.need, bin.free) ? costMs : costWithPreemptionMs(job, bin, context, costMs);
}

/** The bin with the lowest cost for one more task, the first one on a tie; undefined: the task fits in none. */
export function chooseBin(
  job: Job,
  bins: readonly MachineBin[],
  context: ChoiceContext,
  allowsZone: (zone: string) => boolean,
  lastPartitionId: number | undefined,
): MachineBin | undefined {
  let best: MachineBin | undefined;
  let bestCostMs = Infinity;
  for (const bin of bins) {
    if (!allowsZone(bin.machine.zone) || !mayRunIn(job, bin)) continue;
    const partitionCostMs = otherPartitionCostMs(job, bin.partitionId, context, lastPartitionId);
    if (startCostMs(job, bin, context) + partitionCostMs >= bestCostMs) continue;
    const costMs = startOrPreemptionCostMs(job, bin, context) + partitionCostMs;
    if (costMs < bestCostMs) {
      best = bin;
      bestCostMs = costMs;
    }
  }
  return best;
}

/** Cost of a bin where the task fits only with preemption, estimated as an owner does; Infinity: it does not fit. */
function costWithPreemptionMs(
  job: Job,
  bin: MachineBin,
  { preempts, clusterConfig }: ChoiceContext,
  costMs: number,
): number {
  const priorityKept = preempts ? leastUrgentPriorityKept(job, bin) : null;
  if (priorityKept === null) return Infinity;
  const stoppedMs = costMs + (STOP_MS + clusterConfig.heartbeatIntervalMs / 2);
  // Urgent work is preempted only if the task fits nowhere else.
  return priorityKept < URGENT_PRIORITY ? stoppedMs + SERVICE_VICTIM_MS : stoppedMs;
}
