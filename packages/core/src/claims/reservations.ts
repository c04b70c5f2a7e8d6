// Room that is kept on machines for certain tasks, whatever else waits.
import { type Resources, NO_RESOURCES } from '../cluster/resources';

export interface Reservations {
  /** What is kept on the machine for tasks that it does not hold yet. */
  reservedOn(machine: string): Resources;
  /** The machine on which room is kept for the task; null: none is. */
  reservedMachineFor(taskName: string): string | null;
}

export const NO_RESERVATIONS: Reservations = { reservedOn: () => NO_RESOURCES, reservedMachineFor: () => null };
