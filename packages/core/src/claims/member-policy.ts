/**
 * What a claim table asks about members of replica groups; the partition's owner answers from the groups' records.
 */
import type { Job } from '../jobs/jobs';
import type { Machine } from './machine-entry';
import type { TaskEntry } from './task-entry';

/** Decides when members of replica groups are started and returned. */
export interface MemberPolicy {
  /** The generation of the job's group according to its record; 0 if there is none. */
  generationOf(job: Job): number;
  /** Whether the member may be started on the machine now. */
  mayStart(task: TaskEntry, machine: Machine): boolean;
  /** Whether the member is to be returned to the leader now. */
  mustReturn(task: TaskEntry): boolean;
}

/** For a table without replica groups: no member is started or returned. */
export const NO_MEMBER_POLICY: MemberPolicy = {
  generationOf: () => 0,
  mayStart: () => false,
  mustReturn: () => false,
};
