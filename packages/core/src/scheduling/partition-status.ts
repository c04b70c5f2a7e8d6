// What the owner of a partition publishes of its machines: all that the leader knows of them when it assigns tasks and
// sizes the cluster.
import type { Resources } from '../cluster/resources';

/** What a partition's owner publishes of one machine. */
export interface MachineStatus {
  readonly name: string;
  /** Name of its machine type. */
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** The last epoch that its worker reported: a new owner needs it to prove its term to the worker. */
  readonly agentEpoch: number;
  /** Left after its claims and after the waiting tasks that the owner expects to start here. */
  readonly free: Resources;
  /**
   * By priority, the most urgent first: what preempting its claims of that priority would free, and what waiting
   * tasks of that priority are expected to use.
   */
  readonly byPriority: readonly Resources[];
  /** Images in its cache. */
  readonly images: readonly string[];
  /** Whether tasks may be started on it now. */
  readonly takesWork: boolean;
  readonly draining: boolean;
  /** Whether the cloud has announced that it takes the machine. */
  readonly evictionNotice: boolean;
  readonly isQuarantined: boolean;
  /** It certainly holds no task; see `machineUse`. */
  readonly empty: boolean;
  /** How long it has been empty. */
  readonly emptyMs: number;
  /** Time since its last acknowledged heartbeat. */
  readonly silentMs: number;
}

/** What a partition's owner publishes of the partition. */
export interface PartitionStatus {
  readonly partitionId: number;
  /** The owner's term. */
  readonly term: number;
  /** The revision of the owner's watch cache: later assignments are not counted in this status. */
  readonly revision: number;
  readonly machines: readonly MachineStatus[];
  /** What those tasks use together that a new owner has awaited for longer than a heartbeat takes, in vain so far. */
  readonly missing: Resources;
  /** Pairs of a job's id and how many of its tasks run. */
  readonly running: readonly (readonly [string, number])[];
}
