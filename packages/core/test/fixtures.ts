import type { Facts } from '../src/index';

/** Settings of a small deployment; a test says what it needs otherwise. */
export const FACTS: Facts = {
  controllers: 5,
  zones: ['a'],
  teams: new Map(),
  reportMs: 1000,
  leaseMs: 6000,
  cancelMs: 20_000,
  skewMs: 100,
  listLagMs: 2000,
};
