export * from './codec';
export * from './users';
export * from './workers';
export * from './cloud';
export * from './machine-types';
export * from './state';
export * from './records';
export * from './group-record';
