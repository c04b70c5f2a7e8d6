// How a partition stands, as its owner tells the leader and the others.
import {
  type Resources,
  type ClaimTable,
  type Machine,
  type MachineStatus,
  NO_RESOURCES,
  plannedByPriority,
  addResources,
  advertisedPriority,
} from '@gingerlock/core';
import type { PartitionStatus } from '@gingerlock/core';
import { PRIORITIES } from '@gingerlock/wire';

/** What a summary says of a machine that has no lease with its owner: longer than any time that is compared with it. */
const NEVER_HEARD_MS = 1e9;

/** `rooms`: what the last packing left of each machine that takes work. */
export function partitionStatusOf(
  claimTable: ClaimTable,
  freeByMachine: ReadonlyMap<Machine, Resources>,
  revision: number,
  now: number,
): PartitionStatus {
  const planned = plannedByPriority(claimTable);
  const machines = [...claimTable.machines.values()].map((machine) =>
    machineStatusOf(
      claimTable,
      machine,
      freeByMachine.get(machine),
      planned.get(machine) ?? PRIORITIES.map(() => NO_RESOURCES),
      now,
    ),
  );
  return {
    partitionId: claimTable.partitionId,
    term: claimTable.term,
    revision,
    machines,
    missing: claimTable.missingServices(now),
    running: [...claimTable.runningTasks()],
  };
}

function machineStatusOf(
  claimTable: ClaimTable,
  m: Machine,
  available: Resources | undefined,
  planned: readonly Resources[],
  now: number,
): MachineStatus {
  const byPriority = [...planned];
  for (const task of m.claims.values()) {
    const priority = advertisedPriority(task.job);
    if (task.claim!.stopGraceS === null) byPriority[priority] = addResources(byPriority[priority]!, task.job.spec);
  }
  return {
    name: m.name,
    type: m.type,
    zone: m.zone,
    spot: m.spot,
    agentEpoch: m.agentEpoch,
    free: available ?? NO_RESOURCES,
    byPriority,
    images: m.cache.images(),
    takesWork: claimTable.takesWork(m, now) && available !== undefined,
    draining: m.draining,
    evictionNotice: m.evictionNotice,
    isQuarantined: claimTable.isQuarantined(m),
    empty: m.claims.size === 0 && m.hasCurrentToken && m.reportedTasks.length === 0 && m.answeredAt !== null,
    emptyMs: now - m.emptySince,
    silentMs: Math.min(claimTable.silentMs(m, now), NEVER_HEARD_MS),
  };
}
