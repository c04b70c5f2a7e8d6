/** Resources that are kept free on machines for certain tasks, even while other tasks wait. */
import { type Resources, NO_RESOURCES } from '../cluster/resources';

/** Which resources are kept free, and for which tasks. */
export interface Reservations {
  /** The resources reserved on the machine for tasks that it does not hold yet. */
  reservedOn(machine: string): Resources;
  /** The name of the machine that has a reservation for the task; null if none has. */
  reservedMachineFor(taskName: string): string | null;
}

/** Nothing is reserved. */
export const NO_RESERVATIONS: Reservations = { reservedOn: () => NO_RESOURCES, reservedMachineFor: () => null };
