// Execution of reclaims by the owner of a partition, on its machines. Only the record of a reclaim is stored, not its
// state: after a failover the new owner begins at `decided` and derives the state from heartbeats.
import {
  type Resources,
  type ClaimTable,
  fitsIn,
  type Machine,
  NO_RESOURCES,
  addResources,
  type Reservations,
  type TaskEntry,
} from '@gingerlock/core';
import { type ReclaimRecord, taskName } from '@gingerlock/wire';
import { reclaimBoundMs, saveGraceS } from './settings';

/**
 * The states of a reclaim:
 * - decided: the record is stored; nothing is stopped yet.
 * - stopping: the victims are being stopped, and some may still run.
 * - freed: the victims no longer run; their resources are reserved for the tasks that the reclaim is for.
 * - granted: the tasks are held by the machine of the reclaim or by another one. The record is removed.
 * - withdrawn: the tasks will not start here. The record is removed; victims without a stop command keep running.
 */
export type ReclaimState = 'decided' | 'stopping' | 'freed' | 'granted' | 'withdrawn';

/** The states that may follow each state; a final state has none. */
const RECLAIM_TRANSITIONS: Record<ReclaimState, readonly ReclaimState[]> = {
  decided: ['stopping', 'freed', 'granted', 'withdrawn'],
  stopping: ['freed', 'granted', 'withdrawn'],
  freed: ['granted', 'withdrawn'],
  granted: [],
  withdrawn: [],
};

/** Why a reclaim was withdrawn. The texts are part of the log, which operators search. */
export type WithdrawReason =
  'its tasks are gone' | 'its machine takes no work' | 'its room was taken' | 'it took too long';

/** Receives the state changes of all reclaims of a partition. */
export interface ReclaimListener {
  /** Called after a reclaim has changed its state; `detail` holds additional fields for the log line. */
  stateChanged(reclaim: Reclaim, detail: Record<string, unknown>): void;
}

/** One reclaim on a machine of a partition, under one owner. */
export class Reclaim {
  #state: ReclaimState = 'decided';
  #withdrawReason: WithdrawReason | null = null;

  /** @param id identifies the record within the partition */
  constructor(
    readonly id: string,
    readonly record: ReclaimRecord,
    readonly listener: ReclaimListener,
  ) {}

  get state(): ReclaimState {
    return this.#state;
  }

  /** Why it was withdrawn; null if it was not. */
  get withdrawReason(): WithdrawReason | null {
    return this.#withdrawReason;
  }

  /** Whether its state is final, so that its record can be removed. */
  get isOver(): boolean {
    return RECLAIM_TRANSITIONS[this.#state].length === 0;
  }

  /** Changes the state; nothing else does. */
  #transitionTo(next: ReclaimState, detail: Record<string, unknown> = {}): void {
    if (!RECLAIM_TRANSITIONS[this.#state].includes(next))
      throw new Error(`reclaim ${this.id}: no transition from ${this.#state} to ${next}`);
    this.#state = next;
    this.listener.stateChanged(this, detail);
  }

  #withdraw(reason: WithdrawReason): void {
    this.#withdrawReason = reason;
    this.#transitionTo('withdrawn', { why: reason });
  }

  /**
   * Advances the state as far as the claim table allows, and returns the victims to stop now.
   * @param wallNow time of day, in milliseconds
   * @param now steady time, in milliseconds
   */
  step(table: ClaimTable, wallNow: number, now: number): readonly TaskEntry[] {
    if (this.isOver) return [];
    const waiting = waitingTasks(table, this.record);
    if (waiting.length === 0) {
      if (hasStartedAny(table, this.record)) this.#transitionTo('granted');
      else this.#withdraw('its tasks are gone');
      return [];
    }
    const victims = heldVictims(table, this.record);
    if (wallNow - this.record.decidedAt > reclaimBoundMs(table.clusterConfig, longestGraceS(victims))) {
      this.#withdraw('it took too long');
      return [];
    }
    const machine = table.machines.get(this.record.machine);
    if (isUnconfirmed(table, this.record.machine)) return [];
    if (machine === undefined || !table.mayTakeWork(machine, now)) {
      this.#withdraw('its machine takes no work');
      return [];
    }
    return this.#proceed(table, machine, waiting, victims);
  }

  #proceed(
    table: ClaimTable,
    machine: Machine,
    waiting: readonly TaskEntry[],
    victims: readonly TaskEntry[],
  ): readonly TaskEntry[] {
    const need = sumOf(waiting);
    const available = addResources(table.freeResources(machine), sumOf(victims));
    // Victims are stopped only if the waiting tasks fit after that.
    if (!fitsIn(need, available)) {
      this.#withdraw('its room was taken');
      return [];
    }
    if (victims.length === 0) {
      if (this.#state !== 'freed') this.#transitionTo('freed');
      return [];
    }
    if (this.#state === 'decided') this.#transitionTo('stopping', { victims: victims.map((task) => task.name) });
    const toStop = victims.filter((victim) => victim.claim!.stopGraceS === null);
    for (const victim of toStop) victim.claim!.stopGraceS = saveGraceS(victim.job.spec);
    return toStop;
  }
}

/** The tasks that the reclaim is for and that are in the table. */
function tasksOf(table: ClaimTable, { job, tasks }: ReclaimRecord): TaskEntry[] {
  return tasks.flatMap((index) => table.findTask(taskName(job, index)) ?? []);
}

/** The tasks that the reclaim is for and that no machine holds yet. */
function waitingTasks(table: ClaimTable, record: ReclaimRecord): TaskEntry[] {
  const isWaiting = ({ state, job }: TaskEntry): boolean =>
    !job.isCancelled && (state === 'waiting' || state === 'uncertain' || state === 'returning');
  return tasksOf(table, record).filter(isWaiting);
}

/** Whether a machine holds one of the tasks that the reclaim is for. */
function hasStartedAny(table: ClaimTable, record: ReclaimRecord): boolean {
  return tasksOf(table, record).some(({ state }) => state === 'claimed' || state === 'finishing');
}

/** The victims of which the machine still holds the attempt that the record names. */
function heldVictims(table: ClaimTable, { machine, victims }: ReclaimRecord): TaskEntry[] {
  return victims.flatMap(({ task, attempt }) => {
    const entry = table.findTask(task);
    return entry?.claim?.machine.name === machine && entry.claim.attempt === attempt ? entry : [];
  });
}

/** Whether a new owner has not yet received a heartbeat from the machine with its own fencing token. */
function isUnconfirmed(table: ClaimTable, name: string): boolean {
  const machine = table.machines.get(name);
  return (
    table.unconfirmedMachines.has(name) ||
    (machine !== undefined && !machine.hasCurrentToken && machine.answeredAt !== null)
  );
}

function longestGraceS(victims: readonly TaskEntry[]): number {
  return Math.max(0, ...victims.map((task) => saveGraceS(task.job.spec)));
}

function sumOf(tasks: readonly TaskEntry[]): Resources {
  return tasks.reduce((sum, task) => addResources(sum, task.job.need), NO_RESOURCES);
}

/** The reclaims of one partition and the resources that they reserve. */
export class PartitionReclaims implements Reservations {
  readonly #reclaimById = new Map<string, Reclaim>();
  #reclaimByTask = new Map<string, Reclaim>();
  #reclaimsByMachine = new Map<string, Reclaim[]>();

  /** The partition's claim table. Table and reclaims refer to each other, so it is set after construction. */
  table: ClaimTable | null = null;

  constructor(readonly listener: ReclaimListener) {}

  /** All reclaims whose records are stored. */
  get all(): readonly Reclaim[] {
    return [...this.#reclaimById.values()];
  }

  /** The reclaims that are over, so that their records can be removed. */
  get finished(): readonly Reclaim[] {
    return this.all.filter((reclaim) => reclaim.isOver);
  }

  /**
   * Reconciles the reclaims with the stored records.
   * @param records by id
   */
  sync(records: ReadonlyMap<string, ReclaimRecord>): void {
    let hasChanged = false;
    for (const id of this.#reclaimById.keys()) {
      if (records.has(id)) continue;
      this.#reclaimById.delete(id);
      hasChanged = true;
    }
    for (const [id, record] of records) {
      if (this.#reclaimById.has(id)) continue;
      this.#reclaimById.set(id, new Reclaim(id, record, this.listener));
      hasChanged = true;
    }
    if (hasChanged) this.#index();
  }

  #index(): void {
    this.#reclaimByTask = new Map();
    this.#reclaimsByMachine = new Map();
    for (const reclaim of this.#reclaimById.values()) {
      const { machine, job, tasks } = reclaim.record;
      this.#reclaimsByMachine.set(machine, [...(this.#reclaimsByMachine.get(machine) ?? []), reclaim]);
      for (const index of tasks) this.#reclaimByTask.set(taskName(job, index), reclaim);
    }
  }

  /** Runs `Reclaim.step` on all reclaims, and returns the victims to stop now. */
  step(table: ClaimTable, wallNow: number, now: number): readonly TaskEntry[] {
    return this.all.flatMap((reclaim) => reclaim.step(table, wallNow, now));
  }

  reservedOn(machine: string): Resources {
    const { table } = this;
    const reclaims = this.#reclaimsByMachine.get(machine)?.filter((reclaim) => !reclaim.isOver) ?? [];
    if (table === null || reclaims.length === 0) return NO_RESOURCES;
    return sumOf(reclaims.flatMap(({ record }) => waitingTasks(table, record)));
  }

  reservedMachineFor(taskName: string): string | null {
    const reclaim = this.#reclaimByTask.get(taskName);
    return reclaim === undefined || reclaim.isOver ? null : reclaim.record.machine;
  }
}
