export * from './next-record';
export * from './part-groups';
export * from './placement';
export * from './reports';
export * from './settings';
