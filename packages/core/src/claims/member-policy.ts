// What a claim table asks about the members of replica groups: their owner decides it by the records of the groups.
import type { Job } from '../jobs/jobs';
import type { Machine, TaskEntry } from './task-entry';

export interface MemberPolicy {
  /** The generation of the job's group as its record has it; 0: there is none. */
  generationOf(job: Job): number;
  /** Whether the member may be started on the machine now. */
  mayStart(task: TaskEntry, machine: Machine): boolean;
  /** Whether the member is to be given back now. */
  mustReturn(task: TaskEntry): boolean;
}

export const NO_MEMBERS: MemberPolicy = {
  generationOf: () => 0,
  mayStart: () => false,
  mustReturn: () => false,
};
