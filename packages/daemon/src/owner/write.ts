// A change of one key that an owner commits, alone or together with others.
import type { Change, Condition } from '@gingerlock/wire';

/** A change of one key with the conditions that it needs, and what its transaction means for the claim table. */
export interface Write {
  readonly conditions: readonly Condition[];
  readonly change: Change;
  /** Called before the transaction is sent. */
  readonly prepare?: () => void;
  /** Called once the change is known not to have been carried out, and can't be any more. */
  readonly failed?: () => void;
}
