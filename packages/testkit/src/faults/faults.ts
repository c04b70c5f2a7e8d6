// Faults as data, so that a generator can draw them and a shrinker can remove them one by one.
import type { World } from '../simulation/world';
import { BORROWING_FAULTS, type BorrowingFault } from './borrowing-faults';
import { CLOUD_FAULTS, type CloudFault } from './cloud-faults';
import { CONTROLLER_FAULTS, type ControllerFault } from './controller-faults';
import { FaultTargets } from './fault-targets';
import type { FaultHandler, FaultTable } from './fault-table';
import { GROUP_FAULTS, type GroupFault } from './group-faults';
import { HEARTBEAT_FAULTS, type HeartbeatFault } from './heartbeat-faults';
import { MACHINE_FAULTS, type MachineFault } from './machine-faults';
import { MALFORMED_FAULTS, type MalformedFault } from './malformed-faults';
import { NETWORK_FAULTS, type NetworkFault } from './network-faults';
import { STATE_FAULTS, type StateFault } from './state-faults';
import { SUBMISSION_FAULTS, type SubmissionFault } from './submission-faults';
import { USER_FAULTS, type UserFault } from './user-faults';

/** Any fault of a scenario. */
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
  | GroupFault
  | MalformedFault;

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
  ...MALFORMED_FAULTS,
};

/** The handler for the fault's kind. `FaultTable` ensures that it accepts the fault, which the compiler can't infer. */
function handlerOf({ kind }: Fault): FaultHandler<Fault> {
  return FAULTS[kind];
}

/** Starts the fault now and counts its kind as an occurrence. */
export function injectFault(world: World, fault: Fault): void {
  world.recordOccurrence(fault.kind);
  handlerOf(fault).inject(world, fault, new FaultTargets(world));
}

/** The fault's duration including delayed effects, in milliseconds; it may depend on the number of controllers. */
export function faultDurationMs(fault: Fault, controllerCount: number): number {
  return handlerOf(fault).durationMs(fault, controllerCount);
}
