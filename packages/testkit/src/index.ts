// Whole deployments for tests: in simulated time, with faults and audits of invariants, or small ones in real time on
// loopback.
export * from './simulation/sim';
export * from './simulation/network';
export * from './simulation/traffic';
export * from './standins/state-service';
export * from './standins/cloud';
export * from './standins/worker';
export * from './standins/worker-world';
export * from './audits/invariants';
export * from './standins/users';
export * from './standins/pipelines';
export * from './audits/liveness-audit';
export * from './audits/ownership-audit';
export * from './audits/borrowing-audit';
export * from './faults/borrowing-faults';
export * from './audits/group-audit';
export * from './faults/group-faults';
export * from './loopback/loopback';
export * from './loopback/loopback-groups';
export * from './loopback/member-process';
export * from './simulation/world';
export * from './simulation/world-options';
export * from './faults/faults';
export * from './faults/scenario';
export * from './simulation/deployment';
