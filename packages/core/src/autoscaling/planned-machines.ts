// The machines of one scale-out plan, with the resources that the plan has not reserved yet.
import type { MachineType } from '@gingerlock/wire';
import { countFitting, type Resources, subtractResources } from '../cluster/resources';
import { type MachineOption, machineOptionKey } from './machine-option';
import type { ScaleOutReason } from './scale-out-reason';

/** The most machines that one request may ask for (PROTOCOL). */
export const MACHINES_PER_REQUEST = 50;

/** A machine that is booting, is kept, or is to be rented. */
export interface PlannedMachine {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** Resources that the plan has not yet reserved for tasks. */
  free: Resources;
  /** Why it is rented; null if it is already rented. */
  readonly reason: ScaleOutReason | null;
}

/** Identical tasks that need resources on planned machines. */
export interface TaskDemand {
  /** Key of the tasks: demands with equal keys have equal needs, and the same machines are allowed for them. */
  readonly shape: string;
  /** Resources that each task needs. */
  readonly need: Resources;
  /** Whether the tasks may run on the machine, regardless of its free resources. */
  readonly isAllowedOn: (machine: PlannedMachine) => boolean;
}

/** The machines of one plan, in the order in which they were added. Their free resources only shrink. */
export class PlannedMachines implements Iterable<PlannedMachine> {
  readonly #machines: PlannedMachine[] = [];
  /** By shape of tasks: index of the first machine on which such a task may still fit. */
  readonly #firstCandidateByShape = new Map<string, number>();
  /** Number of machines to rent, by key of their option. */
  readonly #rentedCountByOption = new Map<string, number>();

  [Symbol.iterator](): Iterator<PlannedMachine> {
    return this.#machines.values();
  }

  add(machine: PlannedMachine): void {
    this.#machines.push(machine);
    if (machine.reason === null) return;
    const key = machineOptionKey(machine.type.name, machine.zone, machine.spot);
    this.#rentedCountByOption.set(key, (this.#rentedCountByOption.get(key) ?? 0) + 1);
  }

  /** Whether the plan rents as many machines of the option as one request may ask for. */
  isRequestFull({ type, zone, spot }: MachineOption): boolean {
    return (this.#rentedCountByOption.get(machineOptionKey(type.name, zone, spot)) ?? 0) >= MACHINES_PER_REQUEST;
  }

  /**
   * Reserves resources for up to `count` tasks, each on the first machine that it fits on; returns for how many. All
   * tasks that fit on a machine are reserved in one step, and no machine is searched twice for one shape once it is
   * full: the cost grows with the machines, not with the tasks.
   */
  reserve({ shape, need, isAllowedOn }: TaskDemand, count: number): number {
    let remaining = count;
    let index = this.#firstCandidateByShape.get(shape) ?? 0;
    for (; index < this.#machines.length; index++) {
      const machine = this.#machines[index]!;
      if (!isAllowedOn(machine)) continue;
      const reserved = Math.min(remaining, countFitting(need, machine.free));
      machine.free = subtractResources(machine.free, need, reserved);
      remaining -= reserved;
      // The machine may have room for more tasks of this shape.
      if (remaining <= 0) break;
    }
    this.#firstCandidateByShape.set(shape, index);
    return count - remaining;
  }
}
