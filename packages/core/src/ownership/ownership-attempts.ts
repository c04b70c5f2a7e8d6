/**
 * Inputs and outputs of the ownership state machine: the stored records of a resource, and attempts to change them.
 * Each attempt is a separate object, to which its outcome is matched.
 */
import type { HoldRecord, OwnerRecord } from '@gingerlock/wire';
import type { OwnershipTerm, PreviousOwner } from './ownership-term';
import type { Transaction } from './transaction';

/** A stored record with the version under which it is stored. */
export interface Versioned<T> {
  readonly record: T;
  readonly version: number;
}

/** The watch cache's records of one resource: a partition or the leadership. */
export interface OwnershipView {
  /** The last owner; the record stays when that controller fails. Null if the resource was never acquired. */
  readonly owner: Versioned<OwnerRecord> | null;
  /** Shows that the owner is alive: removed with the owner's store lease, or on release. Null if there is none. */
  readonly hold: Versioned<HoldRecord> | null;
  /** The counter from which all resources take their terms; null if no resource was ever acquired. */
  readonly term: Versioned<number> | null;
  /** The last term whose owner confirmed its failover time, see `OwnershipTerm.confirmAcquisition`; 0 if none. */
  readonly confirmedTerm: number;
}

/** Identifies this process of this controller. */
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
  /** Time of day (ms) that the transaction writes for the last failover; 0 if no earlier owner can still be active. */
  readonly failoverAt: number;
  /** Steady-clock time (ms) at which the attempt was made. */
  readonly sentAt: number;
  /** Whether the resource is acquired from an owner that may still be active. */
  readonly isFailover: boolean;
  readonly hadOwner: boolean;
  /** The previous owner if it released the resource; otherwise null. */
  readonly releasedBy: string | null;
  /**
   * The controller to ask after the acquisition whether its ownership has ended; null if this is not a failover, or if
   * the time of that controller's own failover is not confirmed.
   */
  readonly previousOwner: PreviousOwner | null;
}

/** An attempt to write the hold again under the same term after this controller's store lease expired. */
export interface Resumption {
  readonly kind: 'resume';
  readonly transaction: Transaction;
  readonly ownershipTerm: OwnershipTerm;
}

/**
 * An attempt to release the resource for another controller. It ends the term at once, whatever the outcome of its
 * write: no worker is answered under that term any more.
 */
export interface Release {
  readonly kind: 'release';
  readonly transaction: Transaction;
  readonly ownershipTerm: OwnershipTerm;
}

/** An attempt to change the records. The state machine waits for the outcome of at most one attempt at a time. */
export type Attempt = Acquisition | Resumption | Release;

/** What the caller has to do after a decision: nothing, end a term, or carry out a transaction. */
export type Decision =
  | { readonly kind: 'none' }
  /** The records show another owner. */
  | { readonly kind: 'lost'; readonly ownershipTerm: OwnershipTerm }
  | Acquisition
  | Resumption;
