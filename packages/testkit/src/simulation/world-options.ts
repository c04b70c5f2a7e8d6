// The options of a simulated deployment and their defaults.
import type { ControllerLimits, Log } from '@gingerlock/daemon';
import type { PeerMessage } from '@gingerlock/peer';
import type { JobSpec } from '@gingerlock/wire';
import type { StateLimits } from '../standins/state-service';
import type { Deployment } from './deployment';

/** Options of a `World`; all except the seed are optional. */
export interface WorldOptions {
  readonly seed: number;
  /** The log of all controllers; default: no log. */
  readonly log?: Log;
  /** Zones, machine types and clocks; default: `ONE_TYPE`. */
  readonly deployment?: Deployment;
  /** The number of controllers. */
  readonly controllers?: number;
  /** The number of machines that are up at the start. */
  readonly machines?: number;
  /** The number of machines of each type that each zone offers, as spot machines and as ordinary ones. */
  readonly capacity?: number;
  /** Multiplies the rate at which jobs arrive. */
  readonly load?: number;
  /** `report_s`, `lease_s` and `cancel_s` of the platform's settings, in seconds. */
  readonly heartbeatIntervalS?: number;
  readonly workerLeaseS?: number;
  readonly cancellationBoundS?: number;
  /** The GPU limit of each team. */
  readonly gpusMax?: number;
  /** The guaranteed GPUs of each team except the guest team. */
  readonly guaranteedGpus?: number;
  /** The operators' settings file, parsed. */
  readonly operators?: unknown;
  /** The features file, parsed; undefined: there is no features file. */
  readonly features?: unknown;
  /** Limits that the state service may enforce later in the scenario: `facts.state.next` of the settings. */
  readonly nextLimits?: StateLimits;
  /** The memory of each controller according to the platform's settings, in megabytes; default: not known. */
  readonly ramMb?: number;
  /** Fields that are the same in all random jobs. */
  readonly jobs?: Partial<JobSpec>;
  /**
   * The largest message between controllers, in bytes. A small value makes controllers publish even a small fleet's
   * status in several fragments.
   */
  readonly frameBytes?: number;
  /** Overrides of controller limits that otherwise only long or large scenarios would reach. */
  readonly limits?: Partial<ControllerLimits>;
  /** Alters messages between controllers; a null result drops the message. */
  readonly falsify?: (message: PeerMessage) => PeerMessage | null;
}

/** Defaults of the options. */
export const WORLD_DEFAULTS = {
  controllers: 3,
  machines: 6,
  capacity: 4,
  heartbeatIntervalS: 1,
  workerLeaseS: 6,
  cancellationBoundS: 20,
  gpusMax: 10,
  guaranteedGpus: 4,
} as const;

/** The teams that submit random jobs. */
export const TEAMS: readonly string[] = ['red', 'blue'];

/** The guest team, which has no guaranteed GPUs. */
export const GUEST_TEAM = 'green';
