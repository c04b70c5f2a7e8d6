import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CloudMachine, MachineType } from '@gingerlock/wire';
import { type Facts, Fleet, type MachineRoom, NOTHING, partOf, type PartSummary } from '../src/index';

const facts: Facts = {
  controllers: 2,
  zones: ['a', 'b'],
  teams: new Map(),
  reportMs: 1000,
  leaseMs: 6000,
  cancelMs: 20_000,
  skewMs: 100,
  listLagMs: 2000,
};
const type: MachineType = {
  name: 'box',
  cpus: 8,
  gpus: 4,
  memoryGb: 32,
  cacheGb: 100,
  fetchGbPerS: 5,
  price: 4,
  spotPrice: 1,
  bootS: 10,
  zones: ['a', 'b'],
};
const types = new Map([[type.name, type]]);
const limits = { headroom: 0, maxOrdinaryMachines: Infinity, maxSpotMachines: Infinity };

function listed(name: string, ageS: number): CloudMachine {
  return { name, addr: '', type: 'box', zone: 'a', spot: false, state: 'running', ageS };
}

function room(name: string, over: Partial<MachineRoom> = {}): MachineRoom {
  return {
    name,
    type: 'box',
    zone: 'a',
    spot: false,
    free: { cpus: 8, gpus: 4, memoryGb: 32 },
    byRank: [NOTHING, NOTHING, NOTHING, NOTHING],
    images: [],
    takesWork: true,
    draining: false,
    noticed: false,
    sick: false,
    empty: false,
    emptyMs: 0,
    silentMs: 0,
    ...over,
  };
}

function summaries(term: number, machines: readonly MachineRoom[]): PartSummary[] {
  return [0, 1].map((part) => ({
    part,
    term,
    revision: 1,
    machines: machines.filter((m) => partOf(m.name, 2) === part),
    missing: NOTHING,
    running: [],
  }));
}

test('a new leader gives machines time to be heard before it returns silent ones', () => {
  const fleet = new Fleet(facts, 1, limits);
  fleet.listed([listed('m-1', 500), listed('m-2', 500)], 0);
  const plan = (now: number, machines: readonly MachineRoom[], term: number): readonly string[] =>
    fleet.plan({ now, types, summaries: summaries(term, machines), unmet: [], parts: 2 }).giveBack;
  assert.deepEqual(plan(100, [], 1), []);
  assert.deepEqual(plan(10_000, [room('m-1')], 1), []);
  // Its part has a new owner: that one, too, is given the time.
  assert.deepEqual(plan(13_000, [room('m-1')], 2), []);
  assert.deepEqual(plan(20_000, [room('m-1')], 2), []);
  assert.deepEqual(plan(26_000, [room('m-1')], 2), ['m-2']);
});

test('machines that boot at once are kept until work can be dealt to them', () => {
  const fleet = new Fleet(facts, 1, limits);
  const quick = new Map([['box', { ...type, bootS: 0.1 }]]);
  const empty = [room('m-1', { empty: true, emptyMs: 1500 }), room('m-2'), room('m-3')];
  fleet.listed([listed('m-1', 5), listed('m-2', 5), listed('m-3', 5)], 0);
  const plan = fleet.plan({ now: 100, types: quick, summaries: summaries(1, empty), unmet: [], parts: 2 });
  assert.deepEqual(plan.drain, []);
});

test('a machine is returned only once its owner says that it is drained and empty', () => {
  const fleet = new Fleet(facts, 1, limits);
  const others = [room('m-2'), room('m-3')];
  fleet.listed(
    ['m-1', 'm-2', 'm-3'].map((n) => listed(n, 100)),
    0,
  );
  const idle = room('m-1', { empty: true, emptyMs: 60_000 });
  const first = fleet.plan({ now: 100, types, summaries: summaries(1, [idle, ...others]), unmet: [], parts: 2 });
  assert.deepEqual(first.drain, ['m-1']);
  assert.deepEqual(first.giveBack, []);
  const drained = { ...idle, draining: true, takesWork: false };
  const second = fleet.plan({ now: 200, types, summaries: summaries(1, [drained, ...others]), unmet: [], parts: 2 });
  assert.deepEqual(second.giveBack, ['m-1']);
});

test('a machine that never comes up is returned, one that is only late is rented once more', () => {
  const fleet = new Fleet(facts, 1, limits);
  fleet.rented(['m-9'], { request: 'r', type: 'box', zone: 'a', spot: false, count: 1 }, 0);
  const plan = (now: number): readonly string[] =>
    fleet.plan({ now, types, summaries: summaries(1, []), unmet: [], parts: 2 }).giveBack;
  fleet.listed([{ ...listed('m-9', 10), state: 'booting' }], 10_000);
  assert.deepEqual(plan(25_000), []);
  assert.deepEqual(plan(41_000), ['m-9']);
});
