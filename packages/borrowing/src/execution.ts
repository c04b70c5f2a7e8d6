// How the owner of a partition carries out reclaims on its machines. Only the record of a reclaim is stored: after a
// failover the new owner begins at `decided` and finds out from heartbeats how far it is.
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
 * - freed: no victim runs; what they used is reserved for the tasks that the reclaim is for.
 * - granted: the tasks are on a machine, here or elsewhere. The record is removed.
 * - withdrawn: the tasks will not start here. The record is removed, and victims that still run go on.
 */
export type ReclaimState = 'decided' | 'stopping' | 'freed' | 'granted' | 'withdrawn';

/** The states that may follow each state; none: it is final. */
const RECLAIM_TRANSITIONS: Record<ReclaimState, readonly ReclaimState[]> = {
  decided: ['stopping', 'freed', 'granted', 'withdrawn'],
  stopping: ['freed', 'granted', 'withdrawn'],
  freed: ['granted', 'withdrawn'],
  granted: [],
  withdrawn: [],
};

/** Why a reclaim was withdrawn. The texts are written to the log, where operators look for them. */
export type WithdrawReason =
  'its tasks are gone' | 'its machine takes no work' | 'its room was taken' | 'it took too long';

/** Receives the state changes of all reclaims of a partition. */
export interface ReclaimListener {
  /** A reclaim has changed its state; `detail` belongs to the line of the log. */
  stateChanged(reclaim: Reclaim, detail: Record<string, unknown>): void;
}

/** One reclaim on a machine of a partition, under one owner. */
export class Reclaim {
  #state: ReclaimState = 'decided';
  #withdrawReason: WithdrawReason | null = null;

  /** @param id names the record within the partition */
  constructor(
    readonly id: string,
    readonly record: ReclaimRecord,
    readonly listener: ReclaimListener,
  ) {}

  get state(): ReclaimState {
    return this.#state;
  }

  /** Why it was withdrawn; null: it was not. */
  get withdrawReason(): WithdrawReason | null {
    return this.#withdrawReason;
  }

  /** Whether its state is final, so that its record can be removed. */
  get isOver(): boolean {
    return RECLAIM_TRANSITIONS[this.#state].length === 0;
  }

  /** The only function that changes the state. */
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
   * Goes as far as what is known allows; returns the tasks that are to be stopped now.
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
    // Victims are stopped only if that makes the waiting tasks fit.
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

/** The tasks that the reclaim is for, as far as the table has them. */
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

/** The victims that the machine still holds, in the attempts that the record names. */
function heldVictims(table: ClaimTable, { machine, victims }: ReclaimRecord): TaskEntry[] {
  return victims.flatMap(({ task, attempt }) => {
    const entry = table.findTask(task);
    return entry?.claim?.machine.name === machine && entry.claim.attempt === attempt ? entry : [];
  });
}

/** Whether the owner is new and has not had a heartbeat of the machine yet. */
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
  return tasks.reduce((sum, task) => addResources(sum, task.job.spec), NO_RESOURCES);
}

/** The reclaims of one partition, and the resources that they reserve. */
export class PartitionReclaims implements Reservations {
  readonly #reclaimById = new Map<string, Reclaim>();
  #reclaimByTask = new Map<string, Reclaim>();
  #reclaimsByMachine = new Map<string, Reclaim[]>();

  /** The partition's claim table; set once, right after both were made. */
  table: ClaimTable | null = null;

  constructor(readonly listener: ReclaimListener) {}

  /** All reclaims whose records are stored. */
  get all(): readonly Reclaim[] {
    return [...this.#reclaimById.values()];
  }

  /** The reclaims whose records are to be removed. */
  get over(): readonly Reclaim[] {
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

  /** Takes the next steps of all reclaims, as `Reclaim.step` does; returns the tasks that are to be stopped now. */
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
