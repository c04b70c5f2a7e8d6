// Tells the other controllers at once of what this one has done, ahead of their own reads of the store.
import type { WatchCache } from '@gingerlock/clients';
import type { PeerChannel } from '../peers/peer-channel';
import type { CommitListener } from '../state/commit-with-retry';

/** Sends hints that others may lose without harm: they only shorten the time until something is seen. */
export class Announcements implements CommitListener {
  constructor(
    readonly peers: PeerChannel,
    readonly watchCache: WatchCache,
  ) {}

  /** See `CommitListener`: every controller, this one included, is to read up to the revision soon. */
  committed(revision: number): void {
    this.peers.broadcast({ kind: 'RevisionHint', revision });
    this.watchCache.hint(revision);
  }

  /** A user is being told that the job is cancelled. */
  jobCancelled(job: string): void {
    this.peers.broadcast({ kind: 'JobCancelled', job });
  }
}
