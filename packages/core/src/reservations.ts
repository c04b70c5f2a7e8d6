// Room that is kept on machines for certain tasks, whatever else waits.
import { type Resources, NO_RESOURCES } from './facts';

export interface Reservations {
  /** What is kept on the machine for tasks that it does not hold yet. */
  keptOn(machine: string): Resources;
  /** The machine on which room is kept for the task; null: none is. */
  machineFor(task: string): string | null;
}

export const NO_RESERVATIONS: Reservations = { keptOn: () => NO_RESOURCES, machineFor: () => null };
