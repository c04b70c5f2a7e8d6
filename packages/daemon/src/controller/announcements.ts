// Notifies the other controllers of changes by this controller before they read them from the key-value store.
import type { WatchCache } from '@gingerlock/clients';
import type { PeerChannel } from '../peers/peer-channel';
import type { CommitListener } from '../state/commit-with-retry';

/** Broadcasts hints. A lost hint does no harm: the peers only see the change later. */
export class Announcements implements CommitListener {
  constructor(
    readonly peers: PeerChannel,
    readonly watchCache: WatchCache,
  ) {}

  /** Asks every controller, including this one, to read up to the revision soon; see `CommitListener`. */
  committed(revision: number): void {
    this.peers.broadcast({ kind: 'RevisionHint', revision });
    this.watchCache.hint(revision);
  }

  /** Notifies the peers that this controller is telling a user that the job is cancelled. */
  jobCancelled(job: string): void {
    this.peers.broadcast({ kind: 'JobCancelled', job });
  }
}
