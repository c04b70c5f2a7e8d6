// Moves service replicas from draining machines to others on which they can start at once.
import type { ClaimView } from '../claims/claim-view';
import type { Machine } from '../claims/machine-entry';
import type { SpareCapacity } from '../claims/spare-capacity';
import type { TaskEntry } from '../claims/task-entry';
import { allowsMachine } from '../cluster/placement-constraints';
import { fitsIn, type Resources, subtractResources } from '../cluster/resources';
import { taskShapeIn } from './job-shape';

/** No replica is moved earlier: a start counts for users only if nothing stops the task within 30 s (PROTOCOL). */
const MIN_RUN_BEFORE_RELOCATION_MS = 30_000;

/**
 * Marks the replicas of one draining machine to be stopped if all of them can start at once on other machines: where
 * they fit and their image is cached, either in another partition or on a machine of this partition whose heartbeat can
 * be requested. Returns the replicas to be stopped; empty if no machine qualifies. `remoteSpareCapacity` is called at
 * most once, and only if there is a machine to empty.
 */
export function relocateReplicas(
  claimTable: ClaimView,
  freeByMachine: ReadonlyMap<Machine, Resources>,
  remoteSpareCapacity: () => readonly SpareCapacity[],
  now: number,
): TaskEntry[] {
  if (isAnyReplicaWaiting(claimTable)) return [];
  let search: SpareSearch | null = null;
  for (const machine of claimTable.machines.values()) {
    if (!machine.draining || machine.evictionNotice || machine.spot || claimTable.isSuspect(machine, now)) continue;
    const replicas = [...machine.claims.values()].filter((task) => task.job.spec.kind === 'service');
    if (replicas.length === 0 || !replicas.every((replica) => mayRelocate(replica, now))) continue;
    search ??= new SpareSearch([...localSpareCapacity(claimTable, freeByMachine, now), ...remoteSpareCapacity()]);
    if (!search.doAllFit(replicas)) continue;
    for (const replica of replicas) startRelocation(claimTable, replica, machine);
    return replicas;
  }
  return [];
}

/** Whether a replica outside replica groups and crash-looping jobs waits: it has precedence over relocations. */
function isAnyReplicaWaiting(claimTable: ClaimView): boolean {
  for (const job of claimTable.wakes()) {
    if (job.spec.kind !== 'service' || job.isGroup || claimTable.isCrashLooping(job)) continue;
    if (claimTable.waitingTasks(job).next().done !== true) return true;
  }
  return false;
}

/** Whether the replica has run for long enough and is not being stopped. Replica groups are not relocated. */
function mayRelocate({ job, claim }: TaskEntry, now: number): boolean {
  const { stopGraceS, stage, grantedAt } = claim!;
  return !job.isGroup && stopGraceS === null && stage === 'running' && now - grantedAt >= MIN_RUN_BEFORE_RELOCATION_MS;
}

/** The spare machines, searched once for each shape of replicas. */
class SpareSearch {
  /** By shape, zone and image of replicas: the spare machines that could take one of them. */
  readonly #sparesByShape = new Map<string, readonly SpareCapacity[]>();

  constructor(readonly spareCapacity: readonly SpareCapacity[]) {}

  /** Whether all the replicas fit at once, each on the first machine that has its image. */
  doAllFit(replicas: readonly TaskEntry[]): boolean {
    const remaining = new Map<SpareCapacity, Resources>();
    return replicas.every((replica) => {
      const { need } = replica.job;
      for (const spare of this.#sparesFor(replica)) {
        const free = remaining.get(spare) ?? spare.free;
        if (!fitsIn(need, free)) continue;
        remaining.set(spare, subtractResources(free, need));
        return true;
      }
      return false;
    });
  }

  #sparesFor(replica: TaskEntry): readonly SpareCapacity[] {
    const { job, zone } = replica;
    const shape = `${job.spec.image}/${taskShapeIn(job, [zone])}`;
    const known = this.#sparesByShape.get(shape);
    if (known !== undefined) return known;
    const spares = this.spareCapacity.filter((spare) => fitsIn(job.need, spare.free) && mayMoveTo(replica, spare));
    this.#sparesByShape.set(shape, spares);
    return spares;
  }
}

function mayMoveTo({ job: { spec }, zone }: TaskEntry, spare: SpareCapacity): boolean {
  return (
    spare.images.includes(spec.image) &&
    (zone === null || zone === spare.zone) &&
    allowsMachine(spec, spare.type, spare.zone, spare.spot)
  );
}

/** Free resources on ordinary machines of this partition whose heartbeat can be requested at once. */
function* localSpareCapacity(
  claimTable: ClaimView,
  freeByMachine: ReadonlyMap<Machine, Resources>,
  now: number,
): Generator<SpareCapacity> {
  for (const [machine, free] of freeByMachine) {
    const { type, zone, spot } = machine;
    if (spot || claimTable.nextHeartbeatInMs(machine, now) > 0) continue;
    yield { type, zone, spot, free, images: machine.cache.images() };
  }
}

function startRelocation(claimTable: ClaimView, replica: TaskEntry, machine: Machine): void {
  replica.claim!.stopGraceS = 0;
  replica.isRelocating = true;
  claimTable.log('replica relocated', { task: replica.name, machine: machine.name });
}
