// Which machines are not asked for for a while, since the cloud had no more of them.
import type { RentRequest } from '@gingerlock/wire';
import type { ClusterConfig } from '../cluster/cluster-config';
import { type MachineOption, machineOptionKey } from './machine-option';

/**
 * The longest time for which an option is not asked for, and how long after that it counts as refused, in heartbeat
 * intervals.
 */
const MAX_BACKOFF_INTERVALS = 16;

interface Refusal {
  /** The option is not asked for before. */
  readonly until: number;
  readonly backoffMs: number;
}

/** The cloud's refusals for lack of capacity: each one in a row doubles the time for which the option is left out. */
export class CapacityBackoff {
  readonly #refusalByOption = new Map<string, Refusal>();

  constructor(readonly clusterConfig: ClusterConfig) {}

  /** The cloud had fewer machines than were asked for. */
  recordRefusal({ type, zone, spot }: RentRequest, now: number): void {
    const key = machineOptionKey(type, zone, spot);
    const lastMs = this.#refusalByOption.get(key)?.backoffMs ?? this.clusterConfig.heartbeatIntervalMs;
    const backoffMs = Math.min(lastMs * 2, this.#maxBackoffMs);
    this.#refusalByOption.set(key, { until: now + backoffMs, backoffMs });
  }

  /** The cloud has rented machines of the kind. */
  clear({ type, zone, spot }: RentRequest): void {
    this.#refusalByOption.delete(machineOptionKey(type, zone, spot));
  }

  /** Whether the option is not to be asked for yet. */
  isBackingOff(option: MachineOption, now: number): boolean {
    const refusal = this.#refusalOf(option);
    return refusal !== undefined && refusal.until > now;
  }

  /** Whether the cloud lately had no more of the option: it may be full still. */
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
