// A change of the state service that is carried out as a whole or not at all.
import type { Change, Condition } from '@gingerlock/wire';

export interface Transaction {
  readonly conditions: readonly Condition[];
  readonly changes: readonly Change[];
}
