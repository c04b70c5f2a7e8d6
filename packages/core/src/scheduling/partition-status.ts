// The status that a partition's owner publishes: all that the leader knows of the machines when it assigns tasks and
// scales the cluster.
import type { Resources } from '../cluster/resources';

/** The status of one machine. */
export interface MachineStatus {
  readonly name: string;
  /** Name of its machine type. */
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** The last epoch that its worker reported: a new owner needs it to prove its term to the worker. */
  readonly agentEpoch: number;
  /** Resources left after its claims and the waiting tasks that the owner expects to start on it. */
  readonly free: Resources;
  /**
   * By priority, the most urgent first: the resources that preempting its claims of that priority would free, plus
   * those that waiting tasks of that priority are expected to use.
   */
  readonly byPriority: readonly Resources[];
  /** Images in its cache. */
  readonly images: readonly string[];
  /** Whether tasks may be started on it now. */
  readonly takesWork: boolean;
  readonly draining: boolean;
  /** Whether the cloud has announced the eviction of the machine. */
  readonly evictionNotice: boolean;
  readonly isQuarantined: boolean;
  /** Whether it is known to hold no task; see `machineUse`. */
  readonly empty: boolean;
  /** How long it has been empty. */
  readonly emptyMs: number;
  /** Time since its last acknowledged heartbeat. */
  readonly silentMs: number;
}

/** The status of one partition. */
export interface PartitionStatus {
  readonly partitionId: number;
  /** The owner's term. */
  readonly term: number;
  /** The revision of the owner's watch cache: later assignments are not counted in this status. */
  readonly revision: number;
  readonly machines: readonly MachineStatus[];
  /** Total resources of service tasks that no machine has reported to a new owner in time; see `missingServiceResources`. */
  readonly missing: Resources;
  /** Pairs of a job's id and how many of its tasks run. */
  readonly running: readonly (readonly [string, number])[];
}
