// Asks the previous owners of acquired partitions whether their ownership has ended. If it has, they answer no workers
// of the partition any more, and the fencing period ends sooner.
import type { PeerMessages } from '@gingerlock/peer';
import type { PartitionOwner } from '../owner/partition-owner';
import type { PeerChannel } from '../peers/peer-channel';

/** Queries to each previous owner per heartbeat interval. */
const QUERIES_PER_HEARTBEAT_INTERVAL = 2;

/** Heartbeat intervals after a query during which its answer counts. */
const ANSWER_INTERVALS = 2;

interface OwnerQuery {
  readonly partitionId: number;
  readonly term: number;
  readonly sentAt: number;
}

/**
 * Queries the previous owner of each partition until the fencing period is over or the previous owner has answered that
 * it does not own the partition.
 */
export class PreviousOwnerQueries {
  /** Queries that may still be answered, by request id. */
  readonly #openById = new Map<string, OwnerQuery>();
  #askedAt = -Infinity;

  constructor(
    /** The owners of this controller's partitions, by partition. */
    readonly ownersById: ReadonlyMap<number, PartitionOwner>,
    readonly peers: PeerChannel,
    readonly heartbeatIntervalMs: number,
  ) {}

  /** Sends the queries that are due. */
  tick(now: number): void {
    if (now - this.#askedAt < this.heartbeatIntervalMs / QUERIES_PER_HEARTBEAT_INTERVAL) return;
    this.#askedAt = now;
    const answerMs = this.heartbeatIntervalMs * ANSWER_INTERVALS;
    for (const [id, query] of this.#openById) if (now - query.sentAt > answerMs) this.#openById.delete(id);
    for (const { partitionId, ownershipTerm, claimTable } of this.ownersById.values()) {
      const { term, previousOwner } = ownershipTerm;
      if (previousOwner === null || claimTable.isFencingOver) continue;
      const id = this.peers.nextRequestId();
      this.#openById.set(id, { partitionId, term, sentAt: now });
      this.peers.send(previousOwner.node, { kind: 'OwnershipQuery', id, partitionId, term });
    }
  }

  /**
   * Handles an answer that arrived at `now` by the steady clock and `wallNow` by the time of day. Answers to queries of
   * earlier terms are ignored.
   */
  onAnswer(from: string, { id, owns }: PeerMessages['OwnershipAnswer'], now: number, wallNow: number): void {
    const query = this.#openById.get(id);
    const owner = query === undefined ? undefined : this.ownersById.get(query.partitionId);
    if (query === undefined || owns || owner?.ownershipTerm.term !== query.term) return;
    owner.ownershipTerm.confirmPreviousOwnerEnded(from, now, wallNow);
    owner.claimTable.fencedUntil = owner.ownershipTerm.fencedUntil;
  }
}
