// The invariants that audits check. Recorded scenarios and violation logs refer to them by these ids.

/** What the service guarantees to the user of a job; see `SimUsers`. */
type UserInvariant =
  /** An accepted job is reported as unknown. */
  | 'forgotten'
  /** A job that nobody has submitted is reported as known. */
  | 'invented'
  /** A job is reported as done although one of its tasks is not. */
  | 'not_done'
  /** A final state changes, or a job is reported as cancelled although nobody cancelled it. */
  | 'went_back'
  /** A job is accepted although it can never run or lacks a field. */
  | 'accepted_bad'
  /** A job is reported as queued or running long after the user learned that a job that it awaits is cancelled. */
  | 'orphaned';

/** Where and when tasks run; see `PlacementAudit`. */
type PlacementInvariant =
  /** A task runs on two machines at once. */
  | 'ran_twice'
  /** A team uses more than its limit. */
  | 'quota'
  /** A task runs on a machine that its job excludes, or a job's tasks run in zones that it excludes together. */
  | 'wrong_place'
  /** The tasks on a machine use more resources than it has. */
  | 'overcommitted'
  /** A task starts before all jobs that its job awaits are done. */
  | 'too_early'
  /** A task runs long after the user received the answer that the job is cancelled. */
  | 'ran_cancelled'
  /** A start command reaches a worker long after the user received the answer that the job is cancelled. */
  | 'start_cancelled';

/** Lack of progress once all faults are over; see `LivenessAudit`. */
type LivenessInvariant =
  /** A task waits although a suitable machine has the free resources and the team's limit allows the task. */
  | 'left_waiting'
  /** Several machines in a row that suit a waiting job come up and are returned unused. */
  | 'rented_in_vain'
  /** Requests for the status of an accepted job get no answer. */
  | 'unanswered';

/** Conditions that prevent `ran_twice` and `wrong_place`; see `OwnershipAudit`. */
type OwnershipInvariant =
  /** A controller answers a worker as owner although its own watch cache shows another owner. */
  | 'deposed_owner'
  /** A task runs although its owner may start it or the leader may assign it again. */
  | 'free_but_running'
  /** A waiting task does not match the newest job record that its owner has read. */
  | 'stale_entry';

/** Conditions on quarantine, retries and rented machines; see `OperationsAudit`. */
type OperationsInvariant =
  /** A machine that was never at fault is quarantined. */
  | 'condemned_healthy'
  /** A job that fails on every machine is restarted without bound. */
  | 'retried_often'
  /** A machine that never comes up stays rented after all faults are over. */
  | 'forgotten_machine';

/** Limits on the requests and messages that controllers send. */
type TransportInvariant =
  /** The state service refuses a change because it is malformed or exceeds a limit. */
  | 'refused'
  /** A controller sends a peer a message that exceeds the size limit of the link. */
  | 'frame_too_large'
  /** A message between a controller and a worker exceeds the size limit of the protocol. */
  | 'worker_message_too_large';

/** Borrowing; see `BorrowingAudit`. */
type BorrowingInvariant =
  /** A reclaim leaves a team less than its guarantee, and less than it used before. */
  | 'below_guarantee'
  /** Two concurrent reclaims are on the same machine or for the same task. */
  | 'promised_twice'
  /**
   * A reclaim stops a production replica, a replica for a service of lower priority, or a task for one of its own team
   * that has no higher priority.
   */
  | 'replica_reclaimed'
  /** A reclaim does not end after all faults are over. */
  | 'endless_reclaim';

/** Replica groups; see `GroupAudit`. */
type GroupInvariant =
  /** The stored state or generation of a group makes a transition that is not allowed. */
  | 'group_moved'
  /** A group is admitted, or a member starts, without a reservation for the member. */
  | 'member_unheld'
  /** A member is started twice in one generation. */
  | 'member_restarted'
  /** Members of two generations of a group run at the same time. */
  | 'two_generations'
  /** A member runs although its group is only waiting or reserved. */
  | 'withdrawn_runs'
  /** An owner keeps a reservation for a member that the group's record does not have. */
  | 'kept_in_vain'
  /** A group does not reach its next state after all faults are over. */
  | 'group_stuck'
  /** After all faults are over, a machine is returned although a waiting group fits only with it. */
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
  /** Simulated time in milliseconds. */
  readonly at: number;
  /** The items that are affected, for the output of a failed test. */
  readonly detail: string;
}
