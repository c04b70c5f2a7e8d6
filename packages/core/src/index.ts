export * from './facts';
export * from './jobs';
export * from './claims';
export { fetchMs } from './placement';
export * from './division';
export * from './fleet';
export * from './ownership';
export * from './packing';
export * from './slots';
