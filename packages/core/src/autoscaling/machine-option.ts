// The kinds of machine that could be rented, and where.
import { isRentable, type JobSpec, type MachineType } from '@gingerlock/wire';
import { allowsMachine } from '../cluster/placement-constraints';
import { fitsIn, type Resources } from '../cluster/resources';

/** A kind of machine in one zone that could be rented. */
export interface MachineOption {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}

/** All that could be rented: by type, then by zone, the ordinary machines before the spot ones. */
export function rentableOptions(types: ReadonlyMap<string, MachineType>): MachineOption[] {
  return [...types.values()]
    .filter((type) => isRentable(type))
    .flatMap((type) => type.zones.flatMap((zone) => [false, true].map((spot) => ({ type, zone, spot }))));
}

/** Whether a task of the job fits on an empty machine of the option, and may run there. */
export function canRunOnOption(spec: JobSpec, { type, zone, spot }: MachineOption): boolean {
  return fitsIn(spec, type) && allowsMachine(spec, type.name, zone, spot);
}

/** A key for a type's name, a zone and whether the machine is spot. */
export function machineOptionKey(type: string, zone: string, spot: boolean): string {
  return `${type}/${zone}/${spot ? 'spot' : 'ordinary'}`;
}

/** What an empty machine of the type has. */
export function capacityOf(type: MachineType): Resources {
  return { cpus: type.cpus, gpus: type.gpus, memoryGb: type.memoryGb };
}

/**
 * Price per hour of a machine by GPU or, of one without any, by CPU: the most expensive is the first to be given up.
 */
export function unitPrice(type: MachineType, spot: boolean): number {
  const units = type.gpus > 0 ? type.gpus : type.cpus;
  return units > 0 ? (spot ? type.spotPrice : type.price) / units : 0;
}
