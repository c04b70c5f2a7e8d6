// Replica groups: services whose tasks run all together or not at all. See docs/replica-groups-design.md.
export * from './next-record';
export * from './partition-groups';
export * from './placement';
export * from './reports';
export * from './settings';
