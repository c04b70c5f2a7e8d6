// What the cloud stand-in has rented, now and at earlier times: its list may describe the past.
import type { CloudMachine } from '@gingerlock/wire';

/** A machine as the cloud has it; `bornAt` is when it was rented, in the scheduler's time. */
export type RentedMachine = CloudMachine & { readonly bornAt: number };

/** For how long earlier states are kept. */
const KEPT_MS = 120_000;

/** All machines that the cloud has rented out, and how they stood earlier. */
export class CloudRecords {
  readonly #machines = new Map<string, RentedMachine>();
  /** When something changed that the history does not have yet. */
  #changedAt: number | null = null;
  #history: { readonly at: number; readonly machines: readonly RentedMachine[] }[] = [];

  get(name: string): RentedMachine | undefined {
    return this.#machines.get(name);
  }

  set(machine: RentedMachine, now: number): void {
    this.#changeAt(now);
    this.#machines.set(machine.name, machine);
  }

  delete(name: string, now: number): void {
    this.#changeAt(now);
    this.#machines.delete(name);
  }

  /** In the order of their names. */
  get machines(): readonly RentedMachine[] {
    this.#keep();
    return this.#history.at(-1)?.machines ?? [];
  }

  /** The machines as they stood at a moment; none if that is not kept. */
  machinesAt(at: number): readonly RentedMachine[] {
    this.#keep();
    return this.#history.findLast((entry) => entry.at <= at)?.machines ?? [];
  }

  /** What changes at one moment is kept once: a fleet of thousands comes up together. */
  #changeAt(now: number): void {
    if (this.#changedAt !== now) this.#keep();
    this.#changedAt = now;
  }

  #keep(): void {
    const now = this.#changedAt;
    if (now === null) return;
    this.#changedAt = null;
    const machines = [...this.#machines.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
    this.#history = this.#history.filter((_, i) => (this.#history[i + 1]?.at ?? now) > now - KEPT_MS);
    this.#history.push({ at: now, machines });
  }
}
