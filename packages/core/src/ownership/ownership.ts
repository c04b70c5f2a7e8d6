// Whether this controller owns a resource, a partition or the lead: a state machine that decides on each new view of the records;
// the caller carries the decisions out. Each attempt and each tenure is an object of its own, and an outcome names the attempt it
// belongs to: one that comes late, after another attempt has begun, changes nothing.
import type { HoldRecord, OwnerRecord } from '@gingerlock/wire';
import { holdRecord, KEYS, ownerRecord, termRecord } from '@gingerlock/wire';
import type { ClusterConfig } from '../cluster/cluster-config';
import { acquisitionBoundMs } from './ownership-timing';
import { type PreviousOwner, OwnershipTerm } from './ownership-term';
import type { Transaction } from './transaction';

export interface Versioned<T> {
  readonly record: T;
  readonly version: number;
}

/** What the replica says of one resource. */
export interface OwnershipView {
  readonly owner: Versioned<OwnerRecord> | null;
  readonly hold: Versioned<HoldRecord> | null;
  readonly term: Versioned<number> | null;
  /** The last term whose owner has confirmed the time of its takeover; see `Tenure.confirmTime`. */
  readonly confirmedTerm: number;
}

/** This process of this controller. */
export interface LocalNode {
  readonly node: string;
  readonly process: string;
}

/** An attempt to take the resource. */
export interface Acquisition {
  readonly kind: 'acquire';
  readonly transaction: Transaction;
  readonly term: number;
  readonly failoverAt: number;
  readonly sentAt: number;
  /** Whether it takes the resource from an owner that may go on. */
  readonly isFailover: boolean;
  readonly hadOwner: boolean;
  readonly releasedBy: string | null;
  readonly previousOwner: PreviousOwner | null;
}

/** An attempt to put the hold back under the same term. */
export interface Resumption {
  readonly kind: 'resume';
  readonly transaction: Transaction;
  readonly ownershipTerm: OwnershipTerm;
}

/** The resource is given up for another controller: from here on nobody is answered, whatever comes of the write. */
export interface Release {
  readonly kind: 'release';
  readonly transaction: Transaction;
  readonly ownershipTerm: OwnershipTerm;
}

export type Attempt = Acquisition | Resumption | Release;

export type Decision =
  | { readonly kind: 'none' }
  /** The records show another owner. */
  | { readonly kind: 'lost'; readonly ownershipTerm: OwnershipTerm }
  | Acquisition
  | Resumption;

/**
 * away:      somebody else's, or nobody's.
 * taking:    a takeover is under way; its outcome is not known yet.
 * held:      ours.
 * resuming:  ours; see `TenureState`.
 * releasing: given up; the outcome of that write is not known yet.
 */
type Phase =
  | { readonly state: 'notOwned' }
  | { readonly state: 'acquiring'; readonly attempt: Acquisition }
  | { readonly state: 'held'; readonly ownershipTerm: OwnershipTerm }
  | { readonly state: 'resuming'; readonly ownershipTerm: OwnershipTerm; readonly attempt: Resumption }
  | { readonly state: 'releasing'; readonly attempt: Release };

const NONE: Decision = { kind: 'none' };

export class Ownership {
  #phase: Phase = { state: 'notOwned' };
  /** Since when the resource has been seen without a hold; null: it has one. */
  #absentSince: number | null = null;

  constructor(
    readonly resource: string,
    readonly clusterConfig: ClusterConfig,
    readonly localNode: LocalNode,
    /** Report intervals to leave to the controllers that come before us for this resource, as things stand. */
    readonly acquisitionDelay: () => number,
  ) {}

  get state(): Phase['state'] {
    return this.#phase.state;
  }

  /** The tenure under which this controller is the owner now; null: it is not. */
  get ownershipTerm(): OwnershipTerm | null {
    return 'ownershipTerm' in this.#phase ? this.#phase.ownershipTerm : null;
  }

  /** Whether the outcome of the attempt still matters. */
  isPending(attempt: Attempt): boolean {
    return 'attempt' in this.#phase && this.#phase.attempt === attempt;
  }

  /** The one function that changes the phase. */
  #enter(next: Phase): void {
    const { ownershipTerm } = this;
    if (ownershipTerm !== null && !('ownershipTerm' in next)) ownershipTerm.move('ended');
    else if ('ownershipTerm' in next && next.ownershipTerm.state !== next.state) next.ownershipTerm.move(next.state);
    this.#phase = next;
  }

  /** Looks at a view that has just been read. `lease` is our state lease, known to be valid, or null. */
  decide(view: OwnershipView, lease: number | null, now: number, wallNow: number): Decision {
    if (view.hold !== null) this.#absentSince = null;
    else this.#absentSince ??= now;
    const { ownershipTerm } = this;
    if (ownershipTerm !== null) return this.#decideAsOwner(ownershipTerm, view, lease);
    if (this.#phase.state !== 'notOwned' || lease === null || !this.#isOurTurn(view, now)) return NONE;
    const attempt = this.#acquisitionOf(view, lease, now, wallNow);
    this.#enter({ state: 'acquiring', attempt });
    return attempt;
  }

  /**
   * In every state that answers workers the owner record is looked at. While a resumption was under way it once was not: the
   * owner answered its workers for as long as it could read, past every bound that the next owner's fencing period counts on.
   */
  #decideAsOwner(ownershipTerm: OwnershipTerm, view: OwnershipView, lease: number | null): Decision {
    if (view.owner?.version !== ownershipTerm.version) {
      this.#enter({ state: 'notOwned' });
      return { kind: 'lost', ownershipTerm };
    }
    if (ownershipTerm.state !== 'held' || view.hold !== null || lease === null) return NONE;
    // Our state lease lapsed, and nobody took the resource: the owner record proves it. The term and all claims stand.
    const hold = KEYS.hold(this.resource);
    const attempt: Resumption = {
      kind: 'resume',
      ownershipTerm,
      transaction: {
        conditions: [ownershipTerm.condition, { key: hold, version: 0 }],
        changes: [{ put: hold, value: holdRecord.write(this.localNode), lease }],
      },
    };
    this.#enter({ state: 'resuming', ownershipTerm, attempt });
    return attempt;
  }

  #isOurTurn(view: OwnershipView, now: number): boolean {
    // A hold that names this controller is an earlier process's or tenure's, and that one is over: there is one at a time.
    if (view.hold !== null) return view.hold.record.node === this.localNode.node;
    return now - (this.#absentSince ?? now) >= this.acquisitionDelay() * this.clusterConfig.heartbeatIntervalMs;
  }

  #acquisitionOf(view: OwnershipView, lease: number, now: number, wallNow: number): Acquisition {
    const term = (view.term?.record ?? 0) + 1;
    const previous = view.owner?.record ?? null;
    // The time of the last takeover between controllers outlives our own restarts. An earlier process of ours is dead, and an
    // owner that has released the resource answers nobody: either leaves leases that run out by themselves.
    const isOwnRestart = previous?.node === this.localNode.node && view.hold?.record.process !== this.localNode.process;
    // A takeover under way for long carries a time that is too early, and its taker can have ended before it took the resource
    // once more: until the time is confirmed, whoever comes next counts from its own takeover.
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
   * The takeover was carried out at `version`, and known to be at `doneAt`. Null: it has been overtaken, or took so long that
   * the time written with it is no bound any more, so the resource has to be taken once more.
   */
  acquired(attempt: Acquisition, version: number, doneAt: number, now: number, wallNow: number): OwnershipTerm | null {
    if (!this.isPending(attempt)) return null;
    // Only what was written now can be too old. With a slow state service a report interval, and the reading after it
    // counted in, was once too short for any takeover.
    if (attempt.isFailover && doneAt - attempt.sentAt > acquisitionBoundMs(this.clusterConfig)) {
      this.#enter({ state: 'notOwned' });
      return null;
    }
    const { resource, clusterConfig } = this;
    const { term, failoverAt, hadOwner, releasedBy, previousOwner } = attempt;
    const previous = { hadOwner, releasedBy, previousOwner };
    const options = { clusterConfig, resource, term, version, acquiredAt: now, failoverAt, wallNow, ...previous };
    const ownershipTerm = new OwnershipTerm(options);
    this.#enter({ state: 'held', ownershipTerm });
    return ownershipTerm;
  }

  /** The attempt was surely not carried out, or its outcome is of no use; false: it has been overtaken. */
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
   * Gives the resource up for the controller that it belongs to: from here on nobody is answered, so the next owner has to
   * wait for no more than one worker lease. Null: not now.
   */
  release(view: OwnershipView): Release | null {
    const { ownershipTerm } = this;
    if (ownershipTerm?.state !== 'held' || view.owner?.version !== ownershipTerm.version || view.hold === null)
      return null;
    const hold = KEYS.hold(this.resource);
    const attempt: Release = {
      kind: 'release',
      ownershipTerm,
      transaction: {
        conditions: [ownershipTerm.condition, { key: hold, version: view.hold.version }],
        changes: [
          { put: KEYS.owner(this.resource), value: ownerRecord.write({ ...view.owner.record, released: true }) },
          { remove: hold },
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
   * A later owner, of the given term, counts on it that no tenure of an earlier term answers workers here, now or ever. That
   * includes a takeover under way: it may have been carried out before the later one, and its outcome be known only after it.
   * Attempts that begin later need not be remembered: their transactions raise the term that the later owner has written.
   * Returns the tenure that this has ended, if any.
   */
  renounceBefore(term: number): OwnershipTerm | null {
    const { ownershipTerm } = this;
    const current = this.#phase.state === 'acquiring' ? this.#phase.attempt.term : ownershipTerm?.term;
    if (current === undefined || current >= term) return null;
    this.#enter({ state: 'notOwned' });
    return ownershipTerm;
  }

  /** A worker has seen the token of a later owner. Ends the given tenure, if it is still the current one. */
  stepDown(ownershipTerm: OwnershipTerm): boolean {
    if (this.ownershipTerm !== ownershipTerm) return false;
    this.#enter({ state: 'notOwned' });
    return true;
  }
}
