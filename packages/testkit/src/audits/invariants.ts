/**
 * The protocol's rules, and those of conduct that the operators count besides:
 * accepted_bad:    a job was accepted though it can never run or lacks a field.
 * start_cancelled: a start command came to a worker long after its user was told that the job is cancelled.
 * left_waiting:    once all troubles are over, a task waits while a machine that fits has room and its team is under its limit.
 * rented_in_vain:  once all troubles are over, machines that fit a waiting job come up and are given back unused, one after the other.
 * too_early:       a task starts before all jobs that its job needs are done.
 * orphaned:        a job is called queued or running long after its user was told that one before it is cancelled.
 * refused:         the state service refused a change as malformed or beyond its limits.
 * unanswered:      once all troubles are over, no question about an accepted job is answered.
 * condemned_healthy: a machine that was never at fault is taken for one that is.
 * retried_often:    a job that fails wherever it runs is started again and again.
 * forgotten_machine: once all troubles are over, a machine that never comes up stays rented. frame_too_large: a
 * controller sends another one a message that its link does not take. Those of borrowing; see `BorrowingAudit`:
 * below_guarantee:  a reclaim leaves a team less than its guarantee, or than it has work for.
 * promised_twice:   two reclaims at once are for one machine, or for one task.
 * replica_reclaimed: a replica is stopped for a service of lower priority, or a task for one that is no more urgent and
 * of its own team.
 * endless_reclaim:  once all troubles are over, a reclaim stands for ever.
 * overcommitted:    the tasks on a machine use more than it has.
 * Those of replica groups; see `GroupAudit`:
 * group_moved:      a record follows another one that it can't follow.
 * member_unheld:    a group is admitted, or a member starts, while the room of one is not kept.
 * member_restarted: a member is started twice in a generation.
 * two_generations:  members of two generations of a group are on machines at once.
 * withdrawn_runs:   a member of a group that waits or is only reserved is on a machine.
 * kept_in_vain:     an owner keeps room for a member without a record that says so.
 * group_stuck:      once all troubles are over, a group is on its way from one state to the next for ever.
 * The statements on which ran_twice and wrong_place rest; see `OwnershipAudit`:
 * deposed_owner:    a worker is answered by a controller whose own copy of the records shows another owner.
 * free_but_running: a task that may be started, or assigned anew, runs.
 * stale_entry:      a task waits to be started elsewhere than the newest record that its owner has read says.
 */
export type Invariant =
  | 'ran_twice'
  | 'quota'
  | 'wrong_place'
  | 'ran_cancelled'
  | 'forgotten'
  | 'invented'
  | 'not_done'
  | 'went_back'
  | 'accepted_bad'
  | 'too_early'
  | 'orphaned'
  | 'refused'
  | 'start_cancelled'
  | 'left_waiting'
  | 'rented_in_vain'
  | 'unanswered'
  | 'deposed_owner'
  | 'free_but_running'
  | 'stale_entry'
  | 'frame_too_large'
  | 'below_guarantee'
  | 'promised_twice'
  | 'replica_reclaimed'
  | 'endless_reclaim'
  | 'overcommitted'
  | 'condemned_healthy'
  | 'retried_often'
  | 'forgotten_machine'
  | 'group_moved'
  | 'member_unheld'
  | 'member_restarted'
  | 'two_generations'
  | 'withdrawn_runs'
  | 'kept_in_vain'
  | 'group_stuck';

export interface Violation {
  readonly rule: Invariant;
  readonly at: number;
  readonly detail: string;
}
