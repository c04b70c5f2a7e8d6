// The invariants that audits check. Recorded scenarios and logs of violations name them by these ids.

/** What the users of one job may rely on; see `SimUsers`. */
type UserInvariant =
  /** A job that was accepted is not known any more. */
  | 'forgotten'
  /** A job that nobody has submitted is known. */
  | 'invented'
  /** A job is said to be done while a task of it is not. */
  | 'not_done'
  /** A final state changes, or a job is said to be cancelled though nobody asked for it. */
  | 'went_back'
  /** A job was accepted though it can never run or lacks a field. */
  | 'accepted_bad'
  /** A job is said to be queued or running long after its user got the answer that one that it awaits is cancelled. */
  | 'orphaned';

/** Where and when tasks run; see `PlacementAudit`. */
type PlacementInvariant =
  /** A task runs on two machines at once. */
  | 'ran_twice'
  /** A team uses more than its limit. */
  | 'quota'
  /** A task runs on a machine, or tasks of a job in zones, that the job excludes. */
  | 'wrong_place'
  /** The tasks on a machine use more than it has. */
  | 'overcommitted'
  /** A task starts before all jobs that its job awaits are done. */
  | 'too_early'
  /** A task runs long after its user got the answer that the job is cancelled. */
  | 'ran_cancelled'
  /** A start command comes to a worker long after that answer. */
  | 'start_cancelled';

/** What ends once all faults are over; see `LivenessAudit`. */
type LivenessInvariant =
  /** A task waits while a machine that fits has the free resources and its team is under its limit. */
  | 'left_waiting'
  /** Machines that fit a waiting job come up and are returned unused, one after the other. */
  | 'rented_in_vain'
  /** No question about an accepted job is answered. */
  | 'unanswered';

/** The statements on which `ran_twice` and `wrong_place` rest; see `OwnershipAudit`. */
type OwnershipInvariant =
  /** A worker is answered by a controller whose own copy of the records shows another owner. */
  | 'deposed_owner'
  /** A task that may be started, or assigned anew, runs. */
  | 'free_but_running'
  /** A task waits to be started elsewhere than the newest record that its owner has read says. */
  | 'stale_entry';

/** What operators count beside the protocol; see `OperationsAudit`. */
type OperationsInvariant =
  /** A machine that was never at fault is quarantined. */
  | 'condemned_healthy'
  /** A job that fails wherever it runs is started again and again. */
  | 'retried_often'
  /** Once all faults are over, a machine that never comes up stays rented. */
  | 'forgotten_machine';

/** What controllers may ask of others. */
type TransportInvariant =
  /** The state service refuses a change as malformed or beyond its limits. */
  | 'refused'
  /** A controller sends another one a message that its link does not accept. */
  | 'frame_too_large';

/** Borrowing; see `BorrowingAudit`. */
type BorrowingInvariant =
  /** A reclaim leaves a team less than its guarantee, or than it has work for. */
  | 'below_guarantee'
  /** Two reclaims at once are for one machine, or for one task. */
  | 'promised_twice'
  /**
   * A replica is stopped for a service of lower priority, or a task for one that is no more urgent and of its own team.
   */
  | 'replica_reclaimed'
  /** Once all faults are over, a reclaim never ends. */
  | 'endless_reclaim';

/** Replica groups; see `GroupAudit`. */
type GroupInvariant =
  /** A record follows another one that it can't follow. */
  | 'group_moved'
  /** A group is admitted, or a member starts, while the resources of a member are not reserved. */
  | 'member_unheld'
  /** A member is started twice in a generation. */
  | 'member_restarted'
  /** Members of two generations of a group are on machines at once. */
  | 'two_generations'
  /** A member of a group that waits or is only reserved is on a machine. */
  | 'withdrawn_runs'
  /** An owner keeps resources reserved for a member without a record that says so. */
  | 'kept_in_vain'
  /** Once all faults are over, a group never gets from one state to the next. */
  | 'group_stuck'
  /** Once all faults are over, a machine is returned without which a group that waits does not fit any more. */
  | 'group_machine_returned';

/** The id of an invariant. */
export type Invariant =
  | UserInvariant
  | PlacementInvariant
  | LivenessInvariant
  | OwnershipInvariant
  | OperationsInvariant
  | TransportInvariant
  | BorrowingInvariant
  | GroupInvariant;

/** An invariant that did not hold. */
export interface Violation {
  readonly rule: Invariant;
  /** In simulated time. */
  readonly at: number;
  /** Of what, for whoever reads a failed test. */
  readonly detail: string;
}
