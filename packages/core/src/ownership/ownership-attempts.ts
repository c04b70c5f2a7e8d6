/**
 * What the ownership state machine reads and decides: the records of a resource, and attempts to change them. Each
 * attempt is an object of its own, and its outcome names it.
 */
import type { HoldRecord, OwnerRecord } from '@gingerlock/wire';
import type { OwnershipTerm, PreviousOwner } from './ownership-term';
import type { Transaction } from './transaction';

/** A stored record with the version under which it is stored. */
export interface Versioned<T> {
  readonly record: T;
  readonly version: number;
}

/** What the watch cache has of one resource: a partition or the leadership. */
export interface OwnershipView {
  /** Who acquired the resource last; it stays when that controller fails. Null: nobody ever did. */
  readonly owner: Versioned<OwnerRecord> | null;
  /** The owner's sign of life, bound to its state lease: it vanishes when that expires or is given up. Null: none. */
  readonly hold: Versioned<HoldRecord> | null;
  /** The last term of the resource; null: there was none. */
  readonly term: Versioned<number> | null;
  /** The last term whose owner has confirmed the time of its failover; see `OwnershipTerm.confirmAcquisition`. */
  readonly confirmedTerm: number;
}

/** This process of this controller. */
export interface LocalNode {
  /** Name of the controller, the same after a restart. */
  readonly node: string;
  /** Name of the process, another one after each restart. */
  readonly process: string;
}

/** An attempt to acquire the resource under a new term. */
export interface Acquisition {
  readonly kind: 'acquire';
  readonly transaction: Transaction;
  readonly term: number;
  /** Time of day (ms) that the transaction writes as that of the last failover; 0: no earlier owner may go on. */
  readonly failoverAt: number;
  /** When the attempt was made, in steady milliseconds. */
  readonly sentAt: number;
  /** Whether it acquires the resource from an owner that may go on. */
  readonly isFailover: boolean;
  readonly hadOwner: boolean;
  /** The controller that released the resource for others before; null: none did. */
  readonly releasedBy: string | null;
  /** Whom to ask afterwards whether it has ended; null: nobody, for its end or its time is not in question. */
  readonly previousOwner: PreviousOwner | null;
}

/** An attempt to write the hold again under the same term, after our state lease had lapsed. */
export interface Resumption {
  readonly kind: 'resume';
  readonly transaction: Transaction;
  readonly ownershipTerm: OwnershipTerm;
}

/**
 * The resource is released for another controller: from here on no worker is answered, whatever the write's outcome.
 */
export interface Release {
  readonly kind: 'release';
  readonly transaction: Transaction;
  readonly ownershipTerm: OwnershipTerm;
}

/** An attempt to change the records; the state machine waits for the outcome of at most one. */
export type Attempt = Acquisition | Resumption | Release;

/** What follows from a view for the caller: nothing, the end of a term, or a transaction to carry out. */
export type Decision =
  | { readonly kind: 'none' }
  /** The records show another owner. */
  | { readonly kind: 'lost'; readonly ownershipTerm: OwnershipTerm }
  | Acquisition
  | Resumption;
