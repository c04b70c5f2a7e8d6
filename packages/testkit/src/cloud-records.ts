// What the cloud stand-in has rented, now and at earlier times: its list may describe the past.
import type { CloudMachine } from '@gingerlock/wire';

export type RentedMachine = CloudMachine & { readonly bornAt: number };

/** For so long it is kept how things stood. */
const KEPT_MS = 120_000;

export class CloudRecords {
  readonly #machines = new Map<string, RentedMachine>();
  #history: { readonly at: number; readonly machines: readonly RentedMachine[] }[] = [];

  get(name: string): RentedMachine | undefined {
    return this.#machines.get(name);
  }

  set(machine: RentedMachine, now: number): void {
    this.#machines.set(machine.name, machine);
    this.#changed(now);
  }

  delete(name: string, now: number): void {
    this.#machines.delete(name);
    this.#changed(now);
  }

  /** In the order of their names. */
  get machines(): readonly RentedMachine[] {
    return this.#history.at(-1)?.machines ?? [];
  }

  machinesAt(at: number): readonly RentedMachine[] {
    return this.#history.findLast((entry) => entry.at <= at)?.machines ?? [];
  }

  #changed(now: number): void {
    const machines = [...this.#machines.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
    this.#history = this.#history.filter((_, i) => (this.#history[i + 1]?.at ?? now) > now - KEPT_MS);
    this.#history.push({ at: now, machines });
  }
}
