// The tasks of one partition and their states: which are assigned to it, which wait, and which machine holds which.
import { parseTaskName, taskName } from '@gingerlock/wire';
import type { Job, JobTable } from './jobs';
import { type AssignedTask, tasksAssignedTo } from './job-use';
import { type Claim, type Slot, SLOT_MOVES, type SlotState } from './slots';
import { WakeQueue } from './wake-queue';

export interface SlotTableOptions {
  readonly partitionId: number;
  readonly term: number;
  readonly jobs: JobTable;
  /** Whether no machine can hold a task of an earlier owner any more. */
  readonly isCleared: () => boolean;
  readonly log: (message: string, detail: Record<string, unknown>) => void;
  readonly alarm: (message: string, detail: Record<string, unknown>) => void;
}

export class SlotTable {
  readonly slots = new Map<string, Map<number, Slot>>();
  /** Goes up with every change that alters rooms or waiting tasks. */
  changes = 0;
  readonly #wakes = new WakeQueue();

  constructor(readonly options: SlotTableOptions) {}

  /** The one function that changes a slot's state. */
  move(slot: Slot, next: SlotState, now: number, claim: Claim | null = null): void {
    if (slot.state !== next && !SLOT_MOVES[slot.state].includes(next)) {
      throw new Error(`task ${slot.name}: no move from ${slot.state} to ${next}`);
    }
    if (slot.claim !== null) slot.claim.machine.claims.delete(slot.name);
    slot.claim = claim;
    if (claim !== null) claim.machine.claims.set(slot.name, slot);
    slot.state = next;
    slot.since = now;
    if (next === 'waiting') this.#wakes.post(slot.job);
    this.changes++;
  }

  /** The jobs that may have waiting tasks, in order. */
  wakes(): readonly Job[] {
    return this.#wakes.jobs();
  }

  *waitingSlots(job: Job): Generator<Slot> {
    if (job.cancelled) return;
    for (const slot of this.slots.get(job.id)?.values() ?? []) if (slot.state === 'waiting') yield slot;
  }

  /** The recovery scan: posts every job that has a waiting task and no wake, drops wakes that have none. */
  scan(): void {
    this.#wakes.clear();
    for (const slots of this.slots.values()) {
      for (const slot of slots.values()) {
        if (slot.state === 'waiting') {
          this.#wakes.post(slot.job);
          break;
        }
      }
    }
  }

  /** Brings the slots of a job in line with its record. Returns the claims that are to be stopped from now on. */
  sync(id: string, now: number): readonly Slot[] {
    const job = this.options.jobs.live.get(id);
    const slots = this.slots.get(id) ?? new Map<number, Slot>();
    // Assigned to an owner after this one: while all is read anew that may show before the owner's own record does.
    const assigned =
      job === undefined
        ? new Map<number, AssignedTask>()
        : tasksAssignedTo(job, this.options.partitionId, this.options.term);
    const stopped: Slot[] = [];
    for (const slot of [...slots.values()]) {
      if (assigned.has(slot.index) && slot.job === job) continue;
      if (!this.#mustKeep(slot, job)) this.#remove(slot, slots);
      else if (this.#withdraw(slot)) stopped.push(slot);
    }
    for (const [index, assignment] of assigned) {
      const slot = slots.get(index);
      if (slot === undefined) this.#add(job!, index, assignment, slots, now);
      else if (this.#reassign(slot, assignment, now)) stopped.push(slot);
    }
    if (slots.size === 0) this.slots.delete(id);
    else this.slots.set(id, slots);
    // Its urgency may be another one now: that of a job that needs it.
    this.#wakes.reorder();
    this.changes++;
    if (job?.cancelled === true) stopped.push(...this.#cancel(job));
    return stopped;
  }

  #add(job: Job, index: number, { zone, term }: AssignedTask, slots: Map<number, Slot>, now: number): void {
    const slot: Slot = {
      job,
      index,
      name: taskName(job.id, index),
      zone,
      term,
      state: 'uncertain',
      claim: null,
      since: now,
      notBefore: 0,
      failures: 0,
      plan: null,
      moving: false,
      leavingVersion: 0,
      startedIn: 0,
      withdrawn: false,
    };
    slots.set(index, slot);
    // A task assigned under this owner's term can be held by nobody yet.
    if (term === this.options.term || this.options.isCleared()) this.move(slot, 'waiting', now);
  }

  #remove(slot: Slot, slots: Map<number, Slot>): void {
    // Not in the table any more: if a machine runs it still, it is a stray there and is told to stop.
    if (slot.claim !== null) slot.claim.machine.claims.delete(slot.name);
    slots.delete(slot.index);
    this.changes++;
  }

  /**
   * Whether a task that is not assigned here any more has to stay: a machine may hold it, and it is neither finished nor is its
   * job over. Entries were once dropped with their claims, and such a task could be started again while it ran.
   */
  #mustKeep(slot: Slot, job: Job | undefined): boolean {
    return slot.claim !== null && slot.job === job && !job.isFinished(slot.index);
  }

  /** Has a claimed task stopped that the record no longer names, which is never expected; true: it was not before. */
  #withdraw(slot: Slot): boolean {
    if (!slot.withdrawn) this.options.alarm('claimed task is not assigned here any more', { task: slot.name });
    slot.withdrawn = true;
    return this.#stop(slot);
  }

  /**
   * Brings a known slot in line with the newest assignment of its task. It may have been given back and assigned anew, to
   * another zone, without the record in between having been seen: the zone of the first assignment was once kept.
   */
  #reassign(slot: Slot, { zone, term }: AssignedTask, now: number): boolean {
    slot.withdrawn = false;
    slot.term = term;
    slot.zone = zone;
    // Only a newer record proves that the change under way can not happen any more.
    if (slot.state === 'leaving' && slot.job.version !== slot.leavingVersion) this.move(slot, 'waiting', now);
    if (slot.claim === null || zone === null || slot.claim.machine.zone === zone) return false;
    this.options.alarm('claimed task is assigned to another zone', { task: slot.name, zone });
    return this.#stop(slot);
  }

  /** Has a claimed task stopped at once; false: it is being stopped already. */
  #stop(slot: Slot): boolean {
    if (slot.claim === null || slot.claim.stopGraceS === 0) return false;
    slot.claim.stopGraceS = 0;
    return true;
  }

  /** The claim has ended, by proof: the task waits again, unless it is not assigned here any more. */
  claimEnded(slot: Slot, why: string, now: number): void {
    this.options.log('claim ended', { task: slot.name, machine: slot.claim?.machine.name, why });
    this.move(slot, 'waiting', now);
    const slots = this.slots.get(slot.job.id);
    if (!slot.withdrawn || slots === undefined) return;
    this.#remove(slot, slots);
    if (slots.size === 0) this.slots.delete(slot.job.id);
  }

  #cancel(job: Job): Slot[] {
    return [...(this.slots.get(job.id)?.values() ?? [])].filter((slot) => this.#stop(slot));
  }

  slotOf(taskName: string): Slot | undefined {
    const parsed = parseTaskName(taskName);
    return parsed === null ? undefined : this.slots.get(parsed.job)?.get(parsed.index);
  }
}
