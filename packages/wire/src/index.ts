export * from './codec';
export * from './users';
export * from './workers';
export * from './cloud';
export * from './state';
export * from './records';
