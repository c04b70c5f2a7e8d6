// Asks the controllers from which partitions of ours were taken whether they have given them up: if so, no worker has been
// answered by them since, and the fencing period ends sooner.
import type { PeerMessages } from '@gingerlock/peer';
import type { PartitionOwner } from '../owner/partition-owner';
import type { PeerChannel } from '../peers/peer-channel';

interface OwnerQuery {
  readonly partitionId: number;
  readonly term: number;
  readonly at: number;
}

export class PreviousOwnerQueries {
  readonly #open = new Map<string, OwnerQuery>();
  #askedAt = -Infinity;

  constructor(
    readonly owners: ReadonlyMap<number, PartitionOwner>,
    readonly peers: PeerChannel,
    readonly heartbeatIntervalMs: number,
  ) {}

  tick(now: number): void {
    if (now - this.#askedAt < this.heartbeatIntervalMs / 2) return;
    this.#askedAt = now;
    for (const [id, query] of this.#open) if (now - query.at > this.heartbeatIntervalMs * 2) this.#open.delete(id);
    for (const { partitionId, ownershipTerm, claimTable } of this.owners.values()) {
      const { term, previousOwner } = ownershipTerm;
      if (previousOwner === null || claimTable.isFencingOver) continue;
      const id = this.peers.nextRequestId();
      this.#open.set(id, { partitionId, term, at: now });
      this.peers.send(previousOwner.node, { kind: 'OwnershipQuery', id, partitionId, term });
    }
  }

  onAnswer(from: string, { id, owns }: PeerMessages['OwnershipAnswer'], now: number, wall: number): void {
    const query = this.#open.get(id);
    const owner = query === undefined ? undefined : this.owners.get(query.partitionId);
    if (query === undefined || owns || owner?.ownershipTerm.term !== query.term) return;
    owner.ownershipTerm.previousOwnerEnded(from, now, wall);
    owner.claimTable.fencedUntil = owner.ownershipTerm.fencedUntil;
  }
}
