import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type GroupCandidate, Job } from '@gingerlock/core';
import type { JobSpec } from '@gingerlock/wire';
import fc from 'fast-check';
import { chooseMachines } from '../src/index';
import { specOf } from './fixtures';

const ZONES = ['a', 'b', 'c'];

const candidates: fc.Arbitrary<GroupCandidate[]> = fc
  .array(
    fc.record({
      zone: fc.constantFrom(...ZONES),
      capacity: fc.integer({ min: 0, max: 3 }),
      costMs: fc.integer({ min: 0, max: 20 }),
    }),
    { maxLength: 6 },
  )
  .map((list) => list.map((candidate, i) => ({ ...candidate, machine: `m-${i}` })));

const zoneSpec: fc.Arbitrary<Partial<JobSpec>> = fc.constantFrom(
  {},
  { spread: true },
  { oneZone: true },
  { zone: 'b' },
  { zone: 'b', oneZone: true },
);

function jobOf(overrides: Partial<JobSpec>): Job {
  const job = new Job('j-1');
  job.spec = specOf(overrides);
  return job;
}

/** Whether there is a placement of all members, found by exhaustive search. */
function isPlaceable(spec: JobSpec, machines: readonly GroupCandidate[]): boolean {
  const most = spec.spread ? Math.ceil(spec.tasks / 2) : spec.tasks;
  const canPlaceFrom = (at: number, left: number, inZone: ReadonlyMap<string, number>): boolean => {
    if (left === 0) return true;
    const candidate = machines[at];
    if (candidate === undefined) return false;
    for (let placed = 0; placed <= Math.min(left, candidate.capacity); placed++) {
      const count = (inZone.get(candidate.zone) ?? 0) + placed;
      const zones = new Map(inZone).set(candidate.zone, count);
      const used = [...zones].filter(([, members]) => members > 0).map(([zone]) => zone);
      const allowed =
        count <= most &&
        (!spec.oneZone || used.length <= 1) &&
        (spec.zone === null || used.every((z) => z === spec.zone));
      if (allowed && canPlaceFrom(at + 1, left - placed, zones)) return true;
    }
    return false;
  };
  return canPlaceFrom(0, spec.tasks, new Map());
}

test('a complete placement is found if and only if there is one, and respects capacity and the limits on zones', () => {
  const avoid = fc.option(fc.constantFrom('m-0', 'm-3'));
  fc.assert(
    fc.property(candidates, zoneSpec, fc.integer({ min: 1, max: 6 }), avoid, (machines, overrides, tasks, avoided) => {
      const job = jobOf({ ...overrides, tasks });
      const choice = chooseMachines(job, machines, ZONES, avoided);
      assert.equal(choice.missing === 0, isPlaceable(job.spec, machines));
      assert.equal(choice.chosen.length, tasks - choice.missing);
      for (const machine of machines) {
        assert.ok(choice.chosen.filter((chosen) => chosen === machine).length <= machine.capacity);
      }
      const zones = choice.chosen.map(({ zone }) => zone);
      if (job.spec.oneZone) assert.ok(new Set(zones).size <= 1);
      if (job.spec.zone !== null) assert.ok(zones.every((zone) => zone === job.spec.zone));
      if (job.spec.spread) {
        for (const zone of ZONES) assert.ok(zones.filter((z) => z === zone).length <= Math.ceil(tasks / 2));
      }
      if (choice.missing > 0) assert.ok(choice.zones.length > 0, 'more capacity would help in at least one zone');
    }),
    { seed: 391, numRuns: 2000 },
  );
});

test('the machine to avoid is chosen only if there is no complete placement without it', () => {
  const machine = (name: string, capacity: number): GroupCandidate => ({
    machine: name,
    zone: 'a',
    capacity,
    costMs: 0,
  });
  const job = jobOf({ tasks: 2 });
  const chosen = (machines: readonly GroupCandidate[]): string[] =>
    chooseMachines(job, machines, ZONES, 'm-1').chosen.map((candidate) => candidate.machine);
  assert.deepEqual(chosen([machine('m-1', 2), machine('m-2', 1), machine('m-3', 1)]), ['m-2', 'm-3']);
  assert.deepEqual(chosen([machine('m-1', 2), machine('m-2', 1)]), ['m-1', 'm-1']);
});
