/**
 * Whether this controller owns a resource, a partition or the leadership: a state machine that decides on each new view
 * of the records; the caller carries the decisions out. Each attempt and each term of ownership is an object of its
 * own, and an outcome names the attempt that it belongs to: one that comes late, after another attempt has begun,
 * changes nothing.
 */
import { holdRecord, KEYS, ownerRecord, termRecord } from '@gingerlock/wire';
import type { ClusterConfig } from '../cluster/cluster-config';
import { acquisitionBoundMs } from './ownership-timing';
import type {
  Acquisition,
  Attempt,
  Decision,
  LocalNode,
  OwnershipView,
  Release,
  Resumption,
} from './ownership-attempts';
import { OwnershipTerm } from './ownership-term';

/**
 * notOwned:  another controller's, or nobody's.
 * acquiring: an acquisition is under way; its outcome is not known yet.
 * held:      ours.
 * resuming:  ours; the hold is being written again, see `OwnershipTermState`.
 * releasing: ours no more; the outcome of the write that says so is not known yet.
 */
type Phase =
  | { readonly state: 'notOwned' }
  | { readonly state: 'acquiring'; readonly attempt: Acquisition }
  | { readonly state: 'held'; readonly ownershipTerm: OwnershipTerm }
  | { readonly state: 'resuming'; readonly ownershipTerm: OwnershipTerm; readonly attempt: Resumption }
  | { readonly state: 'releasing'; readonly attempt: Release };

/** There is nothing to do. */
const NONE: Decision = { kind: 'none' };

/** The state machine of one resource. Moments are steady milliseconds, `wallNow` is the time of day in milliseconds. */
export class Ownership {
  #phase: Phase = { state: 'notOwned' };
  /** Since when the resource has been seen without a hold; null: it had one in the last view. */
  #withoutHoldSince: number | null = null;

  constructor(
    /** Name of the resource in its keys. */
    readonly resource: string,
    readonly clusterConfig: ClusterConfig,
    readonly localNode: LocalNode,
    /**
     * For how many heartbeat intervals to leave a resource without a hold to the controllers that come before us now.
     */
    readonly acquisitionDelay: () => number,
  ) {}

  /** The present state; see `Phase`. */
  get state(): Phase['state'] {
    return this.#phase.state;
  }

  /** The term under which this controller is the owner now; null: it is not. */
  get ownershipTerm(): OwnershipTerm | null {
    return 'ownershipTerm' in this.#phase ? this.#phase.ownershipTerm : null;
  }

  /** Whether the outcome of the attempt still matters. */
  isPending(attempt: Attempt): boolean {
    return 'attempt' in this.#phase && this.#phase.attempt === attempt;
  }

  /** Changes the phase, and the state of the term of ownership with it: nothing else does. */
  #enter(next: Phase): void {
    const { ownershipTerm } = this;
    if (ownershipTerm !== null && !('ownershipTerm' in next)) ownershipTerm.transition('ended');
    else if ('ownershipTerm' in next && next.ownershipTerm.state !== next.state)
      next.ownershipTerm.transition(next.state);
    this.#phase = next;
  }

  /**
   * Decides on a view that has just been read. `lease` is our state lease in the key-value store; null: none is known
   * to be valid.
   */
  decide(view: OwnershipView, lease: number | null, now: number, wallNow: number): Decision {
    if (view.hold !== null) this.#withoutHoldSince = null;
    else this.#withoutHoldSince ??= now;
    const { ownershipTerm } = this;
    if (ownershipTerm !== null) return this.#decideAsOwner(ownershipTerm, view, lease);
    if (this.#phase.state !== 'notOwned' || lease === null || !this.#mayAcquire(view, now)) return NONE;
    const attempt = this.#acquisitionOf(view, lease, now, wallNow);
    this.#enter({ state: 'acquiring', attempt });
    return attempt;
  }

  /**
   * Checks the owner record in every state that answers workers, also while a resumption is under way: an owner that
   * went on answering after another had acquired the resource would pass every bound that the next owner's fencing
   * period counts on.
   */
  #decideAsOwner(ownershipTerm: OwnershipTerm, view: OwnershipView, lease: number | null): Decision {
    if (view.owner?.version !== ownershipTerm.version) {
      this.#enter({ state: 'notOwned' });
      return { kind: 'lost', ownershipTerm };
    }
    if (ownershipTerm.state !== 'held' || view.hold !== null || lease === null) return NONE;
    // Our state lease lapsed, and nobody acquired the resource: the owner record proves it. The term and all claims
    // stand.
    const holdKey = KEYS.hold(this.resource);
    const attempt: Resumption = {
      kind: 'resume',
      ownershipTerm,
      transaction: {
        conditions: [ownershipTerm.condition, { key: holdKey, version: 0 }],
        changes: [{ put: holdKey, value: holdRecord.write(this.localNode), lease }],
      },
    };
    this.#enter({ state: 'resuming', ownershipTerm, attempt });
    return attempt;
  }

  /**
   * Whether the resource is free for us: its hold is one of our own that is over, or it has been without a hold for as
   * long as the controllers that come before us are given.
   */
  #mayAcquire(view: OwnershipView, now: number): boolean {
    // A hold that names this controller is of an earlier process or term, and that one is over: there is one at a time.
    if (view.hold !== null) return view.hold.record.node === this.localNode.node;
    return now - (this.#withoutHoldSince ?? now) >= this.acquisitionDelay() * this.clusterConfig.heartbeatIntervalMs;
  }

  /** The attempt to acquire the resource as the view shows it. */
  #acquisitionOf(view: OwnershipView, lease: number, now: number, wallNow: number): Acquisition {
    const term = (view.term?.record ?? 0) + 1;
    const previous = view.owner?.record ?? null;
    // The time of the last failover between controllers outlives our own restarts. An earlier process of ours is dead,
    // and an owner that has released the resource answers nobody: what either leaves are leases that expire by
    // themselves.
    const isOwnRestart = previous?.node === this.localNode.node && view.hold?.record.process !== this.localNode.process;
    // The time that an acquisition writes is too early if its outcome takes long, and its owner may have ended before
    // it could acquire the resource once more: until the time is confirmed, whoever comes next counts from its own
    // acquisition.
    const isConfirmed = previous === null || previous.failoverAt === 0 || view.confirmedTerm === previous.term;
    const isFailover = previous !== null && (!isConfirmed || (!isOwnRestart && !previous.released));
    const failoverAt = isFailover ? wallNow : (previous?.failoverAt ?? 0);
    const owner = { term, node: this.localNode.node, failoverAt, released: false };
    return {
      kind: 'acquire',
      term,
      failoverAt,
      isFailover,
      sentAt: now,
      hadOwner: previous !== null,
      releasedBy: previous?.released === true ? previous.node : null,
      previousOwner: isFailover && isConfirmed ? { node: previous.node, failoverAt: previous.failoverAt } : null,
      transaction: {
        conditions: [
          { key: KEYS.hold(this.resource), version: view.hold?.version ?? 0 },
          { key: KEYS.term, version: view.term?.version ?? 0 },
          { key: KEYS.owner(this.resource), version: view.owner?.version ?? 0 },
        ],
        changes: [
          { put: KEYS.term, value: termRecord.write(term) },
          { put: KEYS.owner(this.resource), value: ownerRecord.write(owner) },
          { put: KEYS.hold(this.resource), value: holdRecord.write(this.localNode), lease },
        ],
      },
    };
  }

  /**
   * The acquisition was carried out as `version`, and known to be at `doneAt`. Null: it has been overtaken, or took so
   * long that the time written with it is no bound any more, so the resource has to be acquired once more.
   */
  acquired(attempt: Acquisition, version: number, doneAt: number, now: number, wallNow: number): OwnershipTerm | null {
    if (!this.isPending(attempt)) return null;
    // Only a time that this attempt wrote itself can be too old. The reading that follows does not count: with a slow
    // store no acquisition would ever be in time.
    if (attempt.isFailover && doneAt - attempt.sentAt > acquisitionBoundMs(this.clusterConfig)) {
      this.#enter({ state: 'notOwned' });
      return null;
    }
    const { resource, clusterConfig } = this;
    const { term, failoverAt, hadOwner, releasedBy, previousOwner } = attempt;
    const ownershipTerm = new OwnershipTerm({
      clusterConfig,
      resource,
      term,
      version,
      acquiredAt: now,
      failoverAt,
      hadOwner,
      releasedBy,
      previousOwner,
      wallNow,
    });
    this.#enter({ state: 'held', ownershipTerm });
    return ownershipTerm;
  }

  /** The attempt was surely not carried out, or its outcome is of no use; false: it has been overtaken before. */
  failed(attempt: Acquisition | Resumption): boolean {
    if (!this.isPending(attempt)) return false;
    this.#enter({ state: 'notOwned' });
    return true;
  }

  /** The hold is back; false: the attempt has been overtaken. */
  resumed(attempt: Resumption): boolean {
    if (!this.isPending(attempt)) return false;
    this.#enter({ state: 'held', ownershipTerm: attempt.ownershipTerm });
    return true;
  }

  /**
   * Releases the resource for the controller that it belongs to: from here on no worker is answered, so the next owner
   * has to wait for no more than one worker lease. Null: not now, for the resource is not surely ours, with a hold, in
   * this view.
   */
  release(view: OwnershipView): Release | null {
    const { ownershipTerm } = this;
    if (ownershipTerm?.state !== 'held' || view.hold === null) return null;
    if (view.owner?.version !== ownershipTerm.version) return null;
    const holdKey = KEYS.hold(this.resource);
    const attempt: Release = {
      kind: 'release',
      ownershipTerm,
      transaction: {
        conditions: [ownershipTerm.condition, { key: holdKey, version: view.hold.version }],
        changes: [
          { put: KEYS.owner(this.resource), value: ownerRecord.write({ ...view.owner.record, released: true }) },
          { remove: holdKey },
        ],
      },
    };
    this.#enter({ state: 'releasing', attempt });
    return attempt;
  }

  /** The outcome of the release is known, or of no interest any more. */
  released(attempt: Release): void {
    if (this.isPending(attempt)) this.#enter({ state: 'notOwned' });
  }

  /**
   * Gives up ownership under every term before the given one: the owner of that term counts on it that no earlier one
   * answers workers here, now or ever. That includes an acquisition under way: it may have been carried out before the
   * later owner's, though its outcome becomes known only after it. Attempts that begin later need no check: their
   * transactions raise the term that the later owner has written. Returns the term of ownership that this has ended;
   * null: there was none.
   */
  renounceBefore(term: number): OwnershipTerm | null {
    const { ownershipTerm } = this;
    const currentTerm = this.#phase.state === 'acquiring' ? this.#phase.attempt.term : ownershipTerm?.term;
    if (currentTerm === undefined || currentTerm >= term) return null;
    this.#enter({ state: 'notOwned' });
    return ownershipTerm;
  }

  /** A worker has seen the fencing token of a later owner: ends the given term. False: it was over before. */
  stepDown(ownershipTerm: OwnershipTerm): boolean {
    if (this.ownershipTerm !== ownershipTerm) return false;
    this.#enter({ state: 'notOwned' });
    return true;
  }
}
