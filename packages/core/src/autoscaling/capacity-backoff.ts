// Backoff for machine options that the cloud has refused for lack of capacity.
import type { RentRequest } from '@gingerlock/wire';
import type { ClusterConfig } from '../cluster/cluster-config';
import { type MachineOption, machineOptionKey } from './machine-option';

/** The longest backoff of an option, and how long after its backoff it counts as refused, in heartbeat intervals. */
const MAX_BACKOFF_INTERVALS = 16;

interface Refusal {
  /** End of the backoff, on the leader's clock, in milliseconds. */
  readonly until: number;
  readonly backoffMs: number;
}

/** Tracks the cloud's refusals for lack of capacity. Each consecutive refusal doubles the option's backoff. */
export class CapacityBackoff {
  readonly #refusalByOption = new Map<string, Refusal>();

  constructor(readonly clusterConfig: ClusterConfig) {}

  /** Records that the cloud rented fewer machines than requested, or none. */
  recordRefusal({ type, zone, spot }: RentRequest, now: number): void {
    const key = machineOptionKey(type, zone, spot);
    const lastMs = this.#refusalByOption.get(key)?.backoffMs ?? this.clusterConfig.heartbeatIntervalMs;
    const backoffMs = Math.min(lastMs * 2, this.#maxBackoffMs);
    this.#refusalByOption.set(key, { until: now + backoffMs, backoffMs });
  }

  /** Removes the backoff of the option after the cloud has rented a machine of it. */
  clear({ type, zone, spot }: RentRequest): void {
    this.#refusalByOption.delete(machineOptionKey(type, zone, spot));
  }

  /** Whether no machine of the option may be requested yet. */
  isBackingOff(option: MachineOption, now: number): boolean {
    const refusal = this.#refusalOf(option);
    return refusal !== undefined && refusal.until > now;
  }

  /** Whether the cloud has recently refused the option, so that it may still lack capacity for it. */
  wasRefused(option: MachineOption, now: number): boolean {
    const refusal = this.#refusalOf(option);
    return refusal !== undefined && now - refusal.until < this.#maxBackoffMs;
  }

  get #maxBackoffMs(): number {
    return this.clusterConfig.heartbeatIntervalMs * MAX_BACKOFF_INTERVALS;
  }

  #refusalOf({ type, zone, spot }: MachineOption): Refusal | undefined {
    return this.#refusalByOption.get(machineOptionKey(type.name, zone, spot));
  }
}
