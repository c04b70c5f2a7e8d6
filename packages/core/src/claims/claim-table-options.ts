/** The options of a claim table and their defaults. */
import type { MachineType } from '@gingerlock/wire';
import type { ClusterConfig } from '../cluster/cluster-config';
import type { JobTable } from '../jobs/job-table';
import { ATTEMPTS_PER_TERM } from './attempt-numbers';
import { type MemberPolicy, NO_MEMBER_POLICY } from './member-policy';
import { NO_RESERVATIONS, type Reservations } from './reservations';

/** The options of a claim table. All times are steady milliseconds. */
export interface ClaimTableOptions {
  readonly clusterConfig: ClusterConfig;
  readonly partitionId: number;
  /** Number of the ownership term. */
  readonly term: number;
  /** When the fencing period ends at the latest; machines that this owner has answered itself can prolong it. */
  readonly fencedUntil: number;
  /** When this owner acquired the partition. */
  readonly acquiredAt: number;
  readonly jobs: JobTable;
  /** The machine types that are known now, by name. */
  readonly types: () => ReadonlyMap<string, MachineType>;
  /** Names and addresses of the machines in the membership that an earlier owner stored. */
  readonly membership: Iterable<readonly [string, string]>;
  /** Resources that are kept free for certain tasks; by default none. */
  readonly reservations?: Reservations;
  /** Decides when members of replica groups are started and returned; by default none is started. */
  readonly members?: MemberPolicy;
  /** Whether waiting tasks may preempt work of lower priority; by default they may. */
  readonly preempts?: boolean;
  /** How many tasks may be granted under this term; by default `ATTEMPTS_PER_TERM`. */
  readonly attemptsPerTerm?: number;
  /** The images that an earlier owner believed to be cached on a machine, by machine name. */
  readonly images?: ReadonlyMap<string, readonly string[]>;
  readonly log?: (message: string, detail: Record<string, unknown>) => void;
  /** Called on an event that contradicts the safety argument, and so is never expected. */
  readonly alarm?: (message: string, detail: Record<string, unknown>) => void;
}

/** Returns the options with a default for each one that is left out. */
export function withDefaults(options: ClaimTableOptions): Required<ClaimTableOptions> {
  return {
    ...options,
    reservations: options.reservations ?? NO_RESERVATIONS,
    members: options.members ?? NO_MEMBER_POLICY,
    preempts: options.preempts ?? true,
    attemptsPerTerm: options.attemptsPerTerm ?? ATTEMPTS_PER_TERM,
    images: options.images ?? new Map(),
    log: options.log ?? (() => undefined),
    alarm: options.alarm ?? (() => undefined),
  };
}
