// How the owner of a machine carries a reclaim out. A new owner begins with each at `decided` and finds by what machines report how far
// it is: nothing of it has to be remembered but the record.
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
 * decided:   the record is stored; nothing is stopped yet.
 * stopping:  the victims are told to stop, and some are not known to be gone.
 * freed:     no victim holds anything any more; the room waits for the tasks that it is kept for.
 * granted:   the tasks have got room, here or elsewhere. The record is removed.
 * withdrawn: they will not get it here. The record is removed, and what still runs goes on.
 */
export type ReclaimState = 'decided' | 'stopping' | 'freed' | 'granted' | 'withdrawn';

const MOVES: Record<ReclaimState, readonly ReclaimState[]> = {
  decided: ['stopping', 'freed', 'granted', 'withdrawn'],
  stopping: ['freed', 'granted', 'withdrawn'],
  freed: ['granted', 'withdrawn'],
  granted: [],
  withdrawn: [],
};

/** Why a reclaim ended without room for its tasks. */
export type WithdrawReason =
  'its tasks are gone' | 'its machine takes no work' | 'its room was taken' | 'it took too long';

export interface ReclaimListener {
  moved(reclaim: Reclaim, detail: Record<string, unknown>): void;
}

/** One reclaim on a machine of a partition, under one owner. */
export class Reclaim {
  #state: ReclaimState = 'decided';
  #why: WithdrawReason | null = null;

  constructor(
    readonly id: string,
    readonly record: ReclaimRecord,
    readonly listener: ReclaimListener,
  ) {}

  get state(): ReclaimState {
    return this.#state;
  }

  /** Why it was withdrawn. */
  get why(): WithdrawReason | null {
    return this.#why;
  }

  get isOver(): boolean {
    return MOVES[this.#state].length === 0;
  }

  /** The one function that changes the state. */
  #move(next: ReclaimState, detail: Record<string, unknown> = {}): void {
    if (!MOVES[this.#state].includes(next))
      throw new Error(`reclaim ${this.id}: no move from ${this.#state} to ${next}`);
    this.#state = next;
    this.listener.moved(this, detail);
  }

  #withdraw(why: WithdrawReason): void {
    this.#why = why;
    this.#move('withdrawn', { why });
  }

  /** Takes the next steps that what is known allows; returns the tasks that are to be told to stop now. */
  step(table: ClaimTable, wallNow: number, now: number): readonly TaskEntry[] {
    if (this.isOver) return [];
    const waiting = waitingTasks(table, this.record);
    if (waiting.length === 0) {
      if (hasGranted(table, this.record)) this.#move('granted');
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
    if (machine === undefined || !table.takesWork(machine, now)) {
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
    // Nobody is stopped in vain.
    if (!fitsIn(need, available)) {
      this.#withdraw('its room was taken');
      return [];
    }
    if (victims.length === 0) {
      if (this.#state !== 'freed') this.#move('freed');
      return [];
    }
    if (this.#state === 'decided') this.#move('stopping', { victims: victims.map((task) => task.name) });
    const stopped = victims.filter((task) => task.claim!.stopGraceS === null);
    for (const task of stopped) task.claim!.stopGraceS = saveGraceS(task.job.spec);
    return stopped;
  }
}

function tasksOf(table: ClaimTable, { job, tasks }: ReclaimRecord): TaskEntry[] {
  return tasks.flatMap((index) => table.findTask(taskName(job, index)) ?? []);
}

/** The tasks that the room is kept for and that no machine holds yet. */
export function waitingTasks(table: ClaimTable, record: ReclaimRecord): TaskEntry[] {
  const isWaiting = ({ state, job }: TaskEntry): boolean =>
    !job.cancelled && (state === 'waiting' || state === 'uncertain' || state === 'returning');
  return tasksOf(table, record).filter(isWaiting);
}

function hasGranted(table: ClaimTable, record: ReclaimRecord): boolean {
  return tasksOf(table, record).some(({ state }) => state === 'claimed' || state === 'finishing');
}

/** The victims that the machine still holds, under the very attempts that the record names. */
function heldVictims(table: ClaimTable, { machine, victims }: ReclaimRecord): TaskEntry[] {
  return victims.flatMap(({ task: taskName, attempt }) => {
    const task = table.findTask(taskName);
    return task?.claim?.machine.name === machine && task.claim.attempt === attempt ? task : [];
  });
}

/** A new owner has yet to hear the machine. */
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

/** The reclaims of one partition, and the room that they keep. */
export class PartitionReclaims implements Reservations {
  readonly #reclaims = new Map<string, Reclaim>();
  #byTask = new Map<string, Reclaim>();
  #byMachine = new Map<string, Reclaim[]>();

  constructor(readonly listener: ReclaimListener) {}

  get all(): readonly Reclaim[] {
    return [...this.#reclaims.values()];
  }

  /** Those whose records are to be removed. */
  get over(): readonly Reclaim[] {
    return this.all.filter((reclaim) => reclaim.isOver);
  }

  /** Brings the reclaims in line with the records. */
  sync(records: ReadonlyMap<string, ReclaimRecord>): void {
    let hasChanged = false;
    for (const id of this.#reclaims.keys()) {
      if (records.has(id)) continue;
      this.#reclaims.delete(id);
      hasChanged = true;
    }
    for (const [id, record] of records) {
      if (this.#reclaims.has(id)) continue;
      this.#reclaims.set(id, new Reclaim(id, record, this.listener));
      hasChanged = true;
    }
    if (hasChanged) this.#index();
  }

  #index(): void {
    this.#byTask = new Map();
    this.#byMachine = new Map();
    for (const reclaim of this.#reclaims.values()) {
      const { machine, job, tasks } = reclaim.record;
      this.#byMachine.set(machine, [...(this.#byMachine.get(machine) ?? []), reclaim]);
      for (const index of tasks) this.#byTask.set(taskName(job, index), reclaim);
    }
  }

  /** Takes the next steps of all reclaims; returns the tasks that are to be told to stop now. */
  step(table: ClaimTable, wallNow: number, now: number): readonly TaskEntry[] {
    return this.all.flatMap((reclaim) => reclaim.step(table, wallNow, now));
  }

  /** See `Reservations`; asked of the partition's own table. */
  table: ClaimTable | null = null;

  reservedOn(machine: string): Resources {
    const { table } = this;
    const reclaims = this.#byMachine.get(machine)?.filter((reclaim) => !reclaim.isOver) ?? [];
    if (table === null || reclaims.length === 0) return NO_RESOURCES;
    return sumOf(reclaims.flatMap(({ record }) => waitingTasks(table, record)));
  }

  reservedMachineFor(taskName: string): string | null {
    const reclaim = this.#byTask.get(taskName);
    return reclaim === undefined || reclaim.isOver ? null : reclaim.record.machine;
  }
}
