// The status of a partition, as its owner publishes it to the leader and the other controllers.
import {
  addResources,
  advertisedPriority,
  type ClaimTable,
  type Machine,
  type MachineStatus,
  NO_RESOURCES,
  type PartitionStatus,
  plannedByPriority,
  type Resources,
} from '@gingerlock/core';
import { PRIORITIES } from '@gingerlock/wire';

/** Reported silence of a machine that has no lease with its owner: longer than any time that it is compared with. */
const MAX_REPORTED_SILENCE_MS = 1e9;

/**
 * Returns the status of a partition. `freeByMachine`: resources that the last placement left free on each machine that
 * takes work.
 */
export function partitionStatusOf(
  claimTable: ClaimTable,
  freeByMachine: ReadonlyMap<Machine, Resources>,
  revision: number,
  now: number,
): PartitionStatus {
  const planned = plannedByPriority(claimTable);
  const machines = [...claimTable.machines.values()].map((machine) => {
    const plannedHere = planned.get(machine) ?? PRIORITIES.map(() => NO_RESOURCES);
    return machineStatusOf(claimTable, machine, freeByMachine.get(machine), plannedHere, now);
  });
  return {
    partitionId: claimTable.partitionId,
    term: claimTable.term,
    revision,
    machines,
    missing: claimTable.missingServiceResources(now),
    running: [...claimTable.runningTasks()],
  };
}

/**
 * Returns the status of a machine. `free`: undefined if it takes no work. `planned`: its resources that are planned for
 * waiting tasks, by priority.
 */
function machineStatusOf(
  claimTable: ClaimTable,
  machine: Machine,
  free: Resources | undefined,
  planned: readonly Resources[],
  now: number,
): MachineStatus {
  const { name, type, zone, spot, agentEpoch, draining, evictionNotice } = machine;
  return {
    name,
    type,
    zone,
    spot,
    agentEpoch,
    free: free ?? NO_RESOURCES,
    byPriority: usedByPriority(machine, planned),
    images: machine.cache.images(),
    takesWork: claimTable.mayTakeWork(machine, now) && free !== undefined,
    draining,
    evictionNotice,
    isQuarantined: claimTable.isQuarantined(machine),
    empty: isKnownEmpty(machine),
    emptyMs: now - machine.emptySince,
    silentMs: Math.min(claimTable.silentMs(machine, now), MAX_REPORTED_SILENCE_MS),
  };
}

/** Returns by priority the resources that are planned or used by the machine's tasks, without those being stopped. */
function usedByPriority(machine: Machine, planned: readonly Resources[]): Resources[] {
  const byPriority = [...planned];
  for (const { job, claim } of machine.claims.values()) {
    const priority = advertisedPriority(job);
    if (claim!.stopGraceS === null) byPriority[priority] = addResources(byPriority[priority]!, job.need);
  }
  return byPriority;
}

/** Whether the machine holds no task, according to its claims and to its own heartbeat. */
function isKnownEmpty({ claims, hasCurrentToken, reportedTasks, answeredAt }: Machine): boolean {
  return claims.size === 0 && hasCurrentToken && reportedTasks.length === 0 && answeredAt !== null;
}
