// The current and past rentals of the cloud stand-in, whose machine list may be out of date.
import type { CloudMachine } from '@gingerlock/wire';

/** A rented machine; `rentedAt` is the scheduler's time at which it was rented. */
export type RentedMachine = CloudMachine & { readonly rentedAt: number };

/** How long past states are kept. */
const HISTORY_MS = 120_000;

/** All rented machines, with a history of their states. */
export class CloudRecords {
  readonly #machines = new Map<string, RentedMachine>();
  /** The time of the changes that are not in the history yet; null: there are no such changes. */
  #changedAt: number | null = null;
  #history: { readonly at: number; readonly machines: readonly RentedMachine[] }[] = [];

  get(name: string): RentedMachine | undefined {
    return this.#machines.get(name);
  }

  set(machine: RentedMachine, now: number): void {
    this.#markChange(now);
    this.#machines.set(machine.name, machine);
  }

  delete(name: string, now: number): void {
    this.#markChange(now);
    this.#machines.delete(name);
  }

  /** The current machines, sorted by name. */
  get machines(): readonly RentedMachine[] {
    this.#recordSnapshot();
    return this.#history.at(-1)?.machines ?? [];
  }

  /** Returns the machines as of time `at`; no machines if the history does not reach back that far. */
  machinesAt(at: number): readonly RentedMachine[] {
    this.#recordSnapshot();
    return this.#history.findLast((entry) => entry.at <= at)?.machines ?? [];
  }

  /** Marks a change. Changes at the same time share one history entry, since thousands of machines come up together. */
  #markChange(now: number): void {
    if (this.#changedAt !== now) this.#recordSnapshot();
    this.#changedAt = now;
  }

  #recordSnapshot(): void {
    const now = this.#changedAt;
    if (now === null) return;
    this.#changedAt = null;
    const machines = [...this.#machines.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
    this.#history = this.#history.filter((_, i) => (this.#history[i + 1]?.at ?? now) > now - HISTORY_MS);
    this.#history.push({ at: now, machines });
  }
}
