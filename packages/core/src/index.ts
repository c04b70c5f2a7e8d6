export * from './facts';
export * from './jobs';
export * from './claims';
export { betterElsewhere, choosePreemption } from './placement';
export * from './division';
export * from './fleet';
export * from './ownership';
