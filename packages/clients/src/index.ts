// Clients of the services that a controller uses: time, HTTP, the cloud and the key-value store.
export * from './ports';
export * from './http';
export * from './rate-limiter';
export { KeyValueStore, StoreRejectedError, type CompareAndSwapResult } from './key-value-store';
export * from './watch-cache';
export * from './cloud';
export * from './answers';
