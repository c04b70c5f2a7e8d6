/** What a claim table does with a heartbeat. */
import type { WorkerCommand } from '@gingerlock/wire';

/** The heartbeat is an older copy, or must not be answered: it changes nothing and renews no lease. */
export interface HeartbeatRefusal {
  readonly kind: 'refuse';
  readonly why: string;
}

/** What becomes of a heartbeat. */
export type HeartbeatOutcome =
  | { readonly kind: 'answer'; readonly fencingToken: number; readonly commands: WorkerCommand[] }
  | HeartbeatRefusal
  /** The worker has seen a higher fencing token: another controller owns this partition. */
  | { readonly kind: 'superseded' };
