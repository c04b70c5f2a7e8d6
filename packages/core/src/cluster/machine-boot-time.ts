// How long machines take to come up.
import type { MachineType } from '@gingerlock/wire';

/** For so long a boot is thought to take where that is not known. */
const UNKNOWN_BOOT_MS = 60_000;

/** How long a machine of the type usually takes to come up. */
export function bootMsOf(type: MachineType | undefined): number {
  return type === undefined || type.bootS <= 0 ? UNKNOWN_BOOT_MS : type.bootS * 1000;
}
