// Which machine the leader's assignment chooses for a task: the one that would run it soonest.
import { PRIORITIES } from '@gingerlock/wire';
import { fitsIn } from '../cluster/resources';
import type { Job } from '../jobs/jobs';
import type { AssignmentInput } from './assignment-types';
import { type MachineBin, mayRunIn, leastUrgentPriorityKept } from './machine-bin';
import { fetchMs, SERVICE_VICTIM_MS, STOP_MS } from './start-time';
import { tightnessCostMs } from './tightness';

/**
 * Tasks of an array that go to another partition than the one before them count as this part of a heartbeat interval
 * later: each partition writes its finished tasks itself, and its last ones are a step more until the job is done.
 */
const OTHER_PARTITION_INTERVAL_DIVISOR = 4;

/** Work that may run on spot machines waits for them for as many heartbeat intervals: ordinary machines cost more. */
const SPOT_PREFERENCE_INTERVALS = 2;

/** Work whose priority comes after this one is batch work. */
const URGENT_PRIORITY = PRIORITIES.indexOf('high');

/** What the choice of a bin needs to know besides the job. */
type ChoiceContext = Pick<AssignmentInput, 'types' | 'clusterConfig' | 'preempts'>;

/**
 * How soon the task would run in the bin, in milliseconds, with ties broken towards what is fuller already.
 * `lastPartitionId` is the partition of the task before it; undefined: there is none.
 */
export function startCostMs(
  job: Job,
  { machine, free, partitionId }: MachineBin,
  { types, clusterConfig: { heartbeatIntervalMs } }: ChoiceContext,
  lastPartitionId: number | undefined,
): number {
  const { spec } = job;
  const type = types.get(machine.type);
  const imageMs = fetchMs(spec.imageGb, machine.images.includes(spec.image), type);
  const ordinaryMs = spec.spot && !machine.spot ? heartbeatIntervalMs * SPOT_PREFERENCE_INTERVALS : 0;
  const isOtherPartition = spec.kind === 'array' && lastPartitionId !== undefined && lastPartitionId !== partitionId;
  const otherPartitionMs = isOtherPartition ? heartbeatIntervalMs / OTHER_PARTITION_INTERVAL_DIVISOR : 0;
  return imageMs + ordinaryMs + otherPartitionMs + tightnessCostMs(heartbeatIntervalMs, free, type);
}

/** The bin that would run one more task soonest, the first of those alike; undefined: it fits in none. */
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
    let costMs = startCostMs(job, bin, context, lastPartitionId);
    if (costMs >= bestCostMs) continue;
    if (!fitsIn(job.spec, bin.free)) costMs = costWithPreemptionMs(job, bin, context, costMs);
    if (costMs < bestCostMs) {
      best = bin;
      bestCostMs = costMs;
    }
  }
  return best;
}

/** The cost of a bin in which the task fits by preemption only, as an owner estimates it; Infinity: it does not fit. */
function costWithPreemptionMs(
  job: Job,
  bin: MachineBin,
  { preempts, clusterConfig }: ChoiceContext,
  costMs: number,
): number {
  const priorityKept = preempts ? leastUrgentPriorityKept(job, bin) : null;
  if (priorityKept === null) return Infinity;
  const stoppedMs = costMs + (STOP_MS + clusterConfig.heartbeatIntervalMs / 2);
  // Work that is urgent itself is preempted only where the task fits nowhere else.
  return priorityKept < URGENT_PRIORITY ? stoppedMs + SERVICE_VICTIM_MS : stoppedMs;
}
