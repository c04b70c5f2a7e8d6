/** Resources that are kept free on machines for certain tasks, whatever else waits. */
import { type Resources, NO_RESOURCES } from '../cluster/resources';

/** Which resources are kept free, and for which tasks. */
export interface Reservations {
  /** What is reserved on the machine for tasks that it does not hold yet. */
  reservedOn(machine: string): Resources;
  /** The machine that has a reservation for the task; null: none has. */
  reservedMachineFor(taskName: string): string | null;
}

/** Nothing is reserved. */
export const NO_RESERVATIONS: Reservations = { reservedOn: () => NO_RESOURCES, reservedMachineFor: () => null };
