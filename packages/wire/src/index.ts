// The wire: every protocol name, stored key and stored record stands in this package, mapped to the code's names.
export * from './errors';
export * from './codec';
export * from './users';
export * from './workers';
export * from './cloud';
export * from './machine-types';
export * from './state';
export * from './keys';
export * from './records';
export * from './group-record';
export * from './rendezvous';
export * from './addresses';
