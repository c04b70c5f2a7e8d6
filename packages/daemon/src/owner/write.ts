// A change of one key that an owner commits, alone or together with others.
import type { Change, Condition } from '@gingerlock/wire';

/** A change of one key with the conditions that it needs, and callbacks that keep the claim table in step with it. */
export interface Write {
  readonly conditions: readonly Condition[];
  readonly change: Change;
  /** Called before the transaction is sent. */
  readonly prepare?: () => void;
  /** Called once it is certain that the change was not and will not be carried out. */
  readonly failed?: () => void;
}
