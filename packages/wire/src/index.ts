// Wire and storage formats: maps every protocol name, stored key and stored record to the names that the code uses.
export * from './errors';
export { MAX_DECODED_BYTES, type MessageFault } from './message-reader';
export * from './codec';
export * from './users';
export * from './workers';
export * from './message-limits';
export * from './cloud';
export * from './machine-types';
export * from './state';
export * from './keys';
export * from './records';
export * from './group-record';
export * from './rendezvous';
export * from './addresses';
export * from './byte-collector';
