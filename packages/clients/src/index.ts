export * from './ports';
export * from './http';
export * from './budget';
export { StateService, StateRefused, type TxnResult } from './state';
export * from './replica';
export * from './cloud';
