// What a simulated deployment can be given at its construction, and what it has otherwise.
import type { ControllerLimits, Log } from '@gingerlock/daemon';
import type { PeerMessage } from '@gingerlock/peer';
import type { JobSpec } from '@gingerlock/wire';
import type { StateLimits } from '../standins/state-service';
import type { Deployment } from './deployment';

/** Options of a `World`; all but the seed have defaults. */
export interface WorldOptions {
  readonly seed: number;
  /** The log of all controllers; silent if not given. */
  readonly log?: Log;
  /** Zones, machine types and clocks; one type if not given. */
  readonly deployment?: Deployment;
  /** How many controllers there are. */
  readonly controllers?: number;
  /** Machines that are up at the start. */
  readonly machines?: number;
  /** Machines of either kind that each zone has. */
  readonly capacity?: number;
  /** How many times the usual number of jobs arrive. */
  readonly load?: number;
  /** `report_s`, `lease_s` and `cancel_s` of the platform's settings, in seconds. */
  readonly heartbeatIntervalS?: number;
  readonly workerLeaseS?: number;
  readonly cancellationBoundS?: number;
  /** GPUs that each team may use at the most. */
  readonly gpusMax?: number;
  /** GPUs that each team but the guests is guaranteed. */
  readonly guaranteedGpus?: number;
  /** The operators' settings file, parsed. */
  readonly operators?: unknown;
  /** The features file, parsed; undefined: there is none. */
  readonly features?: unknown;
  /** Limits that the state service may get during the scenario: `facts.state.next` of the settings. */
  readonly nextLimits?: StateLimits;
  /** Fields that are the same in all random jobs. */
  readonly jobs?: Partial<JobSpec>;
  /**
   * The largest message between controllers; a small one makes controllers publish even a small fleet's status in
   * several fragments.
   */
  readonly frameBytes?: number;
  /** Bounds of the controllers that only long or large scenarios would reach. */
  readonly limits?: Partial<ControllerLimits>;
  /** Falsifies messages between controllers; null: the message is lost. */
  readonly falsify?: (message: PeerMessage) => PeerMessage | null;
}

/** What the options are where they are not given. */
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

/** The teams that submit the usual jobs. */
export const TEAMS: readonly string[] = ['red', 'blue'];

/** A team without a guarantee. */
export const GUEST_TEAM = 'green';
