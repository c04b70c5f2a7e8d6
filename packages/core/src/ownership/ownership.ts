/**
 * State machine that decides whether this controller owns a resource: a partition or the leadership. It decides on each
 * new view of the records, and the caller carries the decisions out. Each attempt and each term of ownership is a
 * separate object, and an outcome names its attempt: an outcome that arrives after another attempt has begun changes
 * nothing.
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
 * notOwned:  another controller or nobody owns the resource.
 * acquiring: an acquisition is under way; its outcome is not known yet.
 * held:      this controller is the owner.
 * resuming:  this controller is the owner, and its hold is being written again; see `OwnershipTermState`.
 * releasing: this controller has given up ownership; the outcome of the write that releases it is not known yet.
 */
type Phase =
  | { readonly state: 'notOwned' }
  | { readonly state: 'acquiring'; readonly attempt: Acquisition }
  | { readonly state: 'held'; readonly ownershipTerm: OwnershipTerm }
  | { readonly state: 'resuming'; readonly ownershipTerm: OwnershipTerm; readonly attempt: Resumption }
  | { readonly state: 'releasing'; readonly attempt: Release };

/** The decision that there is nothing to do. */
const NONE: Decision = { kind: 'none' };

/**
 * The state machine of one resource. `wallNow` is the time of day, all other times are of the steady clock, in
 * milliseconds.
 */
export class Ownership {
  #phase: Phase = { state: 'notOwned' };
  /** When the resource was first seen without a hold, if the last view had none either; otherwise null. */
  #withoutHoldSince: number | null = null;

  constructor(
    /** Name of the resource in its keys. */
    readonly resource: string,
    readonly clusterConfig: ClusterConfig,
    readonly localNode: LocalNode,
    /**
     * Returns for how many heartbeat intervals to leave a resource without a hold to the controllers before this one.
     */
    readonly acquisitionDelay: () => number,
  ) {}

  /** The current state; see `Phase`. */
  get state(): Phase['state'] {
    return this.#phase.state;
  }

  /** The term under which this controller is the owner now; null if it is not the owner. */
  get ownershipTerm(): OwnershipTerm | null {
    return 'ownershipTerm' in this.#phase ? this.#phase.ownershipTerm : null;
  }

  /** Whether the attempt is the current one, so that its outcome still matters. */
  isPending(attempt: Attempt): boolean {
    return 'attempt' in this.#phase && this.#phase.attempt === attempt;
  }

  /** Changes the phase and, with it, the state of the ownership term. All changes of either are made here. */
  #enter(next: Phase): void {
    const { ownershipTerm } = this;
    if (ownershipTerm !== null && !('ownershipTerm' in next)) ownershipTerm.transition('ended');
    else if ('ownershipTerm' in next && next.ownershipTerm.state !== next.state)
      next.ownershipTerm.transition(next.state);
    this.#phase = next;
  }

  /**
   * Decides on a view that has just been read. `lease` is this controller's store lease; null if none is known to be
   * valid.
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
   * Decides as the owner. The owner record is checked in every state in which workers are answered, also during a
   * resumption: an owner that kept answering after another controller had acquired the resource would exceed the bounds
   * on which the next owner's fencing period relies.
   */
  #decideAsOwner(ownershipTerm: OwnershipTerm, view: OwnershipView, lease: number | null): Decision {
    if (view.owner?.version !== ownershipTerm.version) {
      this.#enter({ state: 'notOwned' });
      return { kind: 'lost', ownershipTerm };
    }
    if (ownershipTerm.state !== 'held' || view.hold !== null || lease === null) return NONE;
    // The store lease expired, but the unchanged owner record proves that no controller has acquired the resource
    // since. The term and all its claims remain valid.
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
   * Whether this controller may acquire the resource: the hold names this controller, or the resource has been without
   * a hold for the time that is left to the controllers before this one.
   */
  #mayAcquire(view: OwnershipView, now: number): boolean {
    // A hold that names this controller is of an earlier process or term, which has ended: there is one at a time.
    if (view.hold !== null) return view.hold.record.node === this.localNode.node;
    return now - (this.#withoutHoldSince ?? now) >= this.acquisitionDelay() * this.clusterConfig.heartbeatIntervalMs;
  }

  /** Returns an acquisition whose conditions are the versions of the view's records. */
  #acquisitionOf(view: OwnershipView, lease: number, now: number, wallNow: number): Acquisition {
    const term = (view.term?.record ?? 0) + 1;
    const previous = view.owner?.record ?? null;
    // The time of the last failover between controllers is kept across restarts of this controller. An earlier process
    // of this controller is dead, and an owner that has released the resource answers no workers: either leaves only
    // worker leases, which expire by themselves.
    const isOwnRestart = previous?.node === this.localNode.node && view.hold?.record.process !== this.localNode.process;
    // The time written with an acquisition is too early if the transaction takes long, and its owner may fail before it
    // can acquire the resource again. Until the time is confirmed, the next owner counts from its own acquisition.
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
   * Enters `held` after the acquisition was carried out as `version`, which became known at `doneAt`. Returns the new
   * term. Returns null if the attempt is no longer pending, or took so long that the time written with it is not a
   * valid bound; the resource then has to be acquired again.
   */
  acquired(attempt: Acquisition, version: number, doneAt: number, now: number, wallNow: number): OwnershipTerm | null {
    if (!this.isPending(attempt)) return null;
    // Only a time that this attempt wrote itself can be too early. Reads after the transaction are not counted: with a
    // slow store no acquisition would ever be in time.
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

  /**
   * Gives up an attempt that certainly was not carried out, or whose outcome is of no use. Returns false if the attempt
   * is no longer pending.
   */
  failed(attempt: Acquisition | Resumption): boolean {
    if (!this.isPending(attempt)) return false;
    this.#enter({ state: 'notOwned' });
    return true;
  }

  /** Enters `held` after the hold was written again. Returns false if the attempt is no longer pending. */
  resumed(attempt: Resumption): boolean {
    if (!this.isPending(attempt)) return false;
    this.#enter({ state: 'held', ownershipTerm: attempt.ownershipTerm });
    return true;
  }

  /**
   * Ends the term to release the resource for another controller. No worker is answered from now on, so the next owner
   * has to wait for at most one worker lease. Returns null, and changes nothing, if the state is not `held` or the view
   * lacks this term's owner record or a hold.
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

  /** Concludes a release whose outcome is known or no longer matters. */
  released(attempt: Release): void {
    if (this.isPending(attempt)) this.#enter({ state: 'notOwned' });
  }

  /**
   * Gives up ownership under every term before the given one, whose owner relies on no earlier owner answering workers
   * here, now or later. This includes an acquisition under way: it may have been carried out before the later owner's,
   * even if its outcome becomes known only afterwards. Later attempts need no check: their transactions increment the
   * term that the later owner has written. Returns the ownership term that this has ended; null if there was none.
   */
  renounceBefore(term: number): OwnershipTerm | null {
    const { ownershipTerm } = this;
    const currentTerm = this.#phase.state === 'acquiring' ? this.#phase.attempt.term : ownershipTerm?.term;
    if (currentTerm === undefined || currentTerm >= term) return null;
    this.#enter({ state: 'notOwned' });
    return ownershipTerm;
  }

  /**
   * Ends the given term after a worker has seen the fencing token of a later owner. Returns false if it had already
   * ended.
   */
  stepDown(ownershipTerm: OwnershipTerm): boolean {
    if (this.ownershipTerm !== ownershipTerm) return false;
    this.#enter({ state: 'notOwned' });
    return true;
  }
}
