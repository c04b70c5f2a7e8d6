/** The outcomes of a heartbeat in a claim table. */
import type { WorkerCommand } from '@gingerlock/wire';

/** The heartbeat is outdated or must not be answered: it renews no lease. */
export interface HeartbeatRefusal {
  readonly kind: 'refuse';
  readonly why: string;
}

/** The outcome of a heartbeat. */
export type HeartbeatOutcome =
  | { readonly kind: 'answer'; readonly fencingToken: number; readonly commands: WorkerCommand[] }
  | HeartbeatRefusal
  /** The worker has seen a higher fencing token: another controller owns this partition. */
  | { readonly kind: 'superseded' };
