export * from './next-record';
export * from './partition-groups';
export * from './placement';
export * from './reports';
export * from './settings';
