// How long machines take to come up.
import type { MachineType } from '@gingerlock/wire';

/** How long a boot is assumed to take if the type's boot time is not known. */
const UNKNOWN_BOOT_MS = 60_000;

/** How long a machine of the type usually takes to come up, in milliseconds; undefined: the type is not known. */
export function bootMsOf(type: MachineType | undefined): number {
  return type === undefined || type.bootS <= 0 ? UNKNOWN_BOOT_MS : type.bootS * 1000;
}
