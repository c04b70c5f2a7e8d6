// The machine options: which types and kinds of machine can be rented in which zones.
import { isRentable, type JobSpec, type MachineType } from '@gingerlock/wire';
import { allowsMachine } from '../cluster/placement-constraints';
import { capacityOf, fitsIn, needOf } from '../cluster/resources';

/** A type and kind (spot or ordinary) of machine that can be rented in one zone. */
export interface MachineOption {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}

/** All rentable options, ordered by type, then by zone, with ordinary before spot machines. */
export function rentableOptions(types: ReadonlyMap<string, MachineType>): MachineOption[] {
  return [...types.values()]
    .filter((type) => isRentable(type))
    .flatMap((type) => type.zones.flatMap((zone) => [false, true].map((spot) => ({ type, zone, spot }))));
}

/** Whether a task of the job fits on an empty machine of the option and may run on it. */
export function canRunOnOption(spec: JobSpec, { type, zone, spot }: MachineOption): boolean {
  return fitsIn(needOf(spec), capacityOf(type)) && allowsMachine(spec, type.name, zone, spot);
}

/** Map key of an option. */
export function machineOptionKey(type: string, zone: string, spot: boolean): string {
  return `${type}/${zone}/${spot ? 'spot' : 'ordinary'}`;
}

/** Price per hour and GPU of a machine, or per hour and CPU if it has no GPUs; the most expensive are drained first. */
export function unitPrice(type: MachineType, spot: boolean): number {
  const units = type.gpus > 0 ? type.gpus : type.cpus;
  return units > 0 ? (spot ? type.spotPrice : type.price) / units : 0;
}
