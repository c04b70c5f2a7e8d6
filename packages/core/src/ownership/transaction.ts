/** A compare-and-swap of the key-value store over several keys. */
import type { Change, Condition } from '@gingerlock/wire';

/** Changes that are carried out together if all conditions hold, and not at all otherwise. */
export interface Transaction {
  readonly conditions: readonly Condition[];
  readonly changes: readonly Change[];
}
