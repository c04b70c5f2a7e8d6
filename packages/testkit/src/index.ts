export * from './sim';
export * from './network';
export * from './state-service';
export * from './worker';
export * from './world';
export * from './faults';
