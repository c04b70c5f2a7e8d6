// Faults as data, so that a generator can draw them and a shrinker can take them away one by one.
import { BORROWING_FAULTS, type BorrowingFault } from './borrowing-faults';
import { CLOUD_FAULTS, type CloudFault } from './cloud-faults';
import { CONTROLLER_FAULTS, type ControllerFault } from './controller-faults';
import { FaultTargets } from './fault-targets';
import type { FaultHandler, FaultTable } from './fault-table';
import { GROUP_FAULTS, type GroupFault } from './group-faults';
import { HEARTBEAT_FAULTS, type HeartbeatFault } from './heartbeat-faults';
import { MACHINE_FAULTS, type MachineFault } from './machine-faults';
import { NETWORK_FAULTS, type NetworkFault } from './network-faults';
import { STATE_FAULTS, type StateFault } from './state-faults';
import { SUBMISSION_FAULTS, type SubmissionFault } from './submission-faults';
import { USER_FAULTS, type UserFault } from './user-faults';
import type { World } from '../simulation/world';

/** Whatever can go wrong in a scenario. */
export type Fault =
  | NetworkFault
  | MachineFault
  | ControllerFault
  | CloudFault
  | HeartbeatFault
  | StateFault
  | UserFault
  | SubmissionFault
  | BorrowingFault
  | GroupFault;

const FAULTS: FaultTable<Fault> = {
  ...NETWORK_FAULTS,
  ...MACHINE_FAULTS,
  ...CONTROLLER_FAULTS,
  ...CLOUD_FAULTS,
  ...HEARTBEAT_FAULTS,
  ...STATE_FAULTS,
  ...USER_FAULTS,
  ...SUBMISSION_FAULTS,
  ...BORROWING_FAULTS,
  ...GROUP_FAULTS,
};

/** The compiler can't tell that the row of a fault's own kind takes that very fault; the type of the table says so. */
function handlerOf({ kind }: Fault): FaultHandler<Fault> {
  return FAULTS[kind];
}

/** Lets the fault begin now. */
export function injectFault(world: World, fault: Fault): void {
  world.recordOccurrence(fault.kind);
  handlerOf(fault).inject(world, fault, new FaultTargets(world));
}

/** How long a fault lasts, what it leaves under way included, in a deployment of so many controllers. */
export function faultDurationMs(fault: Fault, controllerCount: number): number {
  return handlerOf(fault).durationMs(fault, controllerCount);
}
