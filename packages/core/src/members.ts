// What a claim table asks about the members of replica groups: their owner decides it by the records of the groups.
import type { Job } from './jobs';
import type { Machine, Slot } from './slots';

export interface MemberPolicy {
  /** The generation of the job's group as its record has it; 0: there is none. */
  generationOf(job: Job): number;
  /** Whether the member may be started on the machine now. */
  mayStart(slot: Slot, machine: Machine): boolean;
  /** Whether the member is to be given back now. */
  mustReturn(slot: Slot): boolean;
}

export const NO_MEMBERS: MemberPolicy = {
  generationOf: () => 0,
  mayStart: () => false,
  mustReturn: () => false,
};
