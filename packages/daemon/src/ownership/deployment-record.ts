// Creates the record of the deployment's immutable settings: the number of partitions, their zones, and the page size.
import { URGENCY } from '@gingerlock/clients';
import { FORMAT, KEYS, type Meta, metaRecord } from '@gingerlock/wire';
import type { ControllerContext } from '../controller/controller-context';
import type { AcquisitionOrder } from './acquisition-order';

/** A page of finished tasks takes at most this share of the largest value. */
const PAGE_SHARE = 1 / 2;

/** Tasks per base64 character, one bit each. */
const TASKS_PER_CHARACTER = 6;

const MIN_PAGE_TASKS = 64;

/** Pages hold a multiple of this many tasks. */
const TASKS_PER_BYTE = 8;

function newDeployment(context: ControllerContext, order: AcquisitionOrder): Meta {
  const { valueBytes, clusterConfig } = context.settings;
  const fittingTasks = Math.floor(valueBytes * PAGE_SHARE) * TASKS_PER_CHARACTER;
  const pageTasks = Math.max(MIN_PAGE_TASKS, fittingTasks);
  const partitionCount = clusterConfig.controllerCount;
  return {
    format: FORMAT,
    partitionCount,
    zones: order.homeZones(partitionCount),
    pageTasks: pageTasks - (pageTasks % TASKS_PER_BYTE),
  };
}

/**
 * Writes the record unless there is one, so that only the first controller that ever starts succeeds. If the outcome
 * stays unknown, a later read shows the record or this is called again.
 */
export async function createDeploymentRecord(context: ControllerContext, order: AcquisitionOrder): Promise<void> {
  const changes = [{ put: KEYS.meta, value: metaRecord.write(newDeployment(context, order)) }];
  const isAbsent = { key: KEYS.meta, version: 0 };
  const result = await context.keyValueStore.compareAndSwap(URGENCY.accept, [isAbsent], changes);
  if (result.kind === 'done') context.recordCommit(changes, result.revision);
}
