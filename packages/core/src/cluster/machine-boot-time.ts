// How long machines take to boot.
import type { MachineType } from '@gingerlock/wire';

/** Assumed boot time if that of the type is not known. */
const UNKNOWN_BOOT_MS = 60_000;

/** The usual boot time of a machine of the type, in milliseconds; `undefined` stands for an unknown type. */
export function bootMsOf(type: MachineType | undefined): number {
  return type === undefined || type.bootS <= 0 ? UNKNOWN_BOOT_MS : type.bootS * 1000;
}
