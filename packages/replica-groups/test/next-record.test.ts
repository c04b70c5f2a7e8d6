import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Job } from '@gingerlock/core';
import type { GroupMember, GroupRecord } from '@gingerlock/wire';
import fc from 'fast-check';
import {
  backoffMs,
  GROUP_TRANSITIONS,
  type GroupContext,
  type GroupReport,
  holdBoundMs,
  longestBackoffMs,
  mayPlace,
  MEMBER_PHASES,
  type MemberReport,
  nextRecord,
  reserve,
  serveLeaseBoundMs,
  stableMs,
  startBoundMs,
} from '../src/index';
import { CLUSTER_CONFIG, MACHINE_TYPE, SETTINGS, specOf } from './fixtures';

const TYPES = new Map([[MACHINE_TYPE.name, MACHINE_TYPE]]);
const MEMBERS: readonly GroupMember[] = [
  { partitionId: 0, machine: 'm-1', attempt: null },
  { partitionId: 0, machine: 'm-2', attempt: null },
  { partitionId: 1, machine: 'm-3', attempt: null },
];

/** A group of three members; all of them are assigned, or none. */
function groupJob(isAssigned = true): Job {
  const job = new Job('j-1');
  job.spec = specOf();
  job.isGroup = true;
  const assignedRanges = [
    { from: 0, count: 2, partitionId: 0, zone: null, term: 1 },
    { from: 2, count: 1, partitionId: 1, zone: null, term: 2 },
  ];
  job.assignedRanges = isAssigned ? assignedRanges : [];
  return job;
}

function contextOf(wall: number, reports: readonly (GroupReport | null)[] = [], storedForMs = 1e9): GroupContext {
  const reportOf = (partitionId: number): GroupReport | null => reports[partitionId] ?? null;
  return {
    settings: SETTINGS,
    clusterConfig: CLUSTER_CONFIG,
    types: TYPES,
    wallNow: wall,
    storedForMs,
    longestSaveS: 0,
    reportOf,
  };
}

/** The reports of the two owners: all members are in the same phase, except for the `overrides` by rank. */
function reportsOf(phase: MemberReport['phase'], overrides: Record<number, Partial<MemberReport>> = {}): GroupReport[] {
  const member = (rank: number): MemberReport => ({
    rank,
    phase,
    attempt: 100 + rank,
    reason: null,
    ...overrides[rank],
  });
  return [[0, 1], [2]].map((ranks) => ({ job: 'j-1', generation: 1, members: ranks.map(member) }));
}

const reserved = reserve(null, MEMBERS, 1000);

function next(
  record: GroupRecord | null,
  wall: number,
  reports: readonly (GroupReport | null)[] = [],
  job = groupJob(),
): GroupRecord {
  const found = nextRecord(job, record, contextOf(wall, reports));
  assert.ok(found !== null);
  return found;
}

test('a group is admitted only when all members are held, and serves only when all run', () => {
  assert.equal(reserved.generation, 1);
  for (const pendingRank of [0, 1, 2]) {
    const reports = reportsOf('held', { [pendingRank]: { phase: 'pending' } });
    assert.equal(nextRecord(groupJob(), reserved, contextOf(1100, reports)), null);
  }
  assert.equal(nextRecord(groupJob(), reserved, contextOf(1100, [reportsOf('held')[0]!, null])), null);
  const admitted = next(reserved, 1100, reportsOf('held'));
  assert.equal(admitted.state, 'admitted');
  assert.equal(
    nextRecord(groupJob(), admitted, contextOf(1200, reportsOf('running', { 2: { phase: 'starting' } }))),
    null,
  );
  const serving = next(admitted, 4000, reportsOf('running'));
  assert.equal(serving.state, 'serving');
  assert.deepEqual(
    serving.members.map(({ attempt }) => attempt),
    [100, 101, 102],
  );
  // Owners report nothing on a serving group of which all members run.
  assert.equal(nextRecord(groupJob(), serving, contextOf(1e9)), null);
});

test('reports on another generation are ignored', () => {
  const old = reportsOf('held').map((report) => ({ ...report, generation: 2 }));
  assert.equal(nextRecord(groupJob(), reserved, contextOf(1100, old)), null);
});

test('a lost member ends the generation in each state, an exceeded time limit ends it before it serves', () => {
  const admitted = next(reserved, 1100, reportsOf('held'));
  const serving = next(admitted, 4000, reportsOf('running'));
  for (const record of [reserved, admitted, serving]) {
    const lost = reportsOf('running', { 1: { phase: 'lost', reason: 'machine silent' } });
    const ending = next(record, 5000, lost);
    assert.equal(ending.state, 'ending');
    assert.equal(ending.reason, 'machine silent');
    assert.equal(ending.avoidedMachine, 'm-2');
    // A member that is no longer assigned counts as lost, too.
    const job = groupJob();
    job.assignedRanges = job.assignedRanges.slice(0, 1);
    assert.equal(next(record, 5000, [], job).state, 'ending');
  }
  const holdMs = holdBoundMs(SETTINGS, CLUSTER_CONFIG, 0);
  assert.equal(nextRecord(groupJob(), reserved, contextOf(1000 + holdMs)), null);
  assert.equal(next(reserved, 1001 + holdMs).reason, 'room was not kept in time');
  const startMs = startBoundMs(SETTINGS, CLUSTER_CONFIG, specOf(), TYPES);
  assert.equal(nextRecord(groupJob(), admitted, contextOf(1100 + startMs)), null);
  assert.equal(next(admitted, 1101 + startMs).reason, 'members did not start in time');
});

test('the next generation waits until all members are returned and all serve leases have expired', () => {
  const serving = next(next(reserved, 1100, reportsOf('held')), 4000, reportsOf('running'));
  const ending = next(serving, 5000, reportsOf('running', { 0: { phase: 'lost', reason: 'member ended' } }));
  assert.equal(ending.hasServed, true);
  const workerLeaseMs = serveLeaseBoundMs(SETTINGS, CLUSTER_CONFIG);
  assert.equal(nextRecord(groupJob(), ending, contextOf(9000)), null, 'members are still assigned');
  const early = nextRecord(groupJob(false), ending, contextOf(9000, [], workerLeaseMs - 1));
  assert.equal(early, null, 'a member may still hold a serve lease');
  const waiting = next(ending, 9000, [], groupJob(false));
  assert.deepEqual([waiting.state, waiting.members], ['waiting', []]);
  // No serve leases are granted in a generation that never served.
  const unserved = next(reserved, 2000, reportsOf('held', { 0: { phase: 'lost' } }));
  assert.equal(nextRecord(groupJob(false), unserved, contextOf(2001, [], 0))?.state, 'waiting');
});

test('backoffs grow with failures up to a limit, differ between groups, and are reset by a stable generation', () => {
  const backoffs = [0, 1, 2, 3, 4, 5, 6, 20].map((failures) => backoffMs(SETTINGS, CLUSTER_CONFIG, 'j-1', 7, failures));
  assert.equal(backoffs[0], 0);
  for (let i = 2; i < 6; i++) assert.ok(Math.abs(backoffs[i]! - 2 * backoffs[i - 1]!) < 1e-6);
  for (const backoff of backoffs) assert.ok(backoff <= longestBackoffMs(SETTINGS, CLUSTER_CONFIG));
  const others = new Set(['j-2', 'j-3', 'j-4'].map((job) => backoffMs(SETTINGS, CLUSTER_CONFIG, job, 7, 3)));
  assert.equal(others.size, 3);
  const waiting: GroupRecord = { ...reserved, state: 'waiting', since: 50_000, failures: 2, members: [] };
  const backoff = backoffMs(SETTINGS, CLUSTER_CONFIG, 'j-1', 1, 2);
  assert.equal(mayPlace(groupJob(false), waiting, contextOf(50_000 + backoff - 1)), false);
  assert.equal(mayPlace(groupJob(false), waiting, contextOf(50_000 + backoff)), true);
  assert.equal(reserve(waiting, MEMBERS, 60_000).generation, 2);
  const serving = next(next(reserved, 1100, reportsOf('held')), 4000, reportsOf('running'));
  const lost = reportsOf('running', { 0: { phase: 'lost', reason: 'machine lost' } });
  assert.equal(next({ ...serving, failures: 3 }, 4000 + stableMs(CLUSTER_CONFIG), lost).failures, 0);
  assert.equal(next({ ...serving, failures: 3 }, 4000, lost).failures, 4);
});

test('tasks that were started as single tasks are ended and restarted as a group', () => {
  const ending = next(null, 1000);
  assert.deepEqual([ending.state, ending.reason, ending.generation], ['ending', 'started as single tasks', 0]);
  assert.equal(next(ending, 2000, [], groupJob(false)).state, 'waiting');
});

test('on generated reports, only allowed transitions take place, and a cancelled group does not change', () => {
  const report = fc.record({
    rank: fc.integer({ min: 0, max: 4 }),
    phase: fc.constantFrom(...MEMBER_PHASES),
    attempt: fc.nat(),
    reason: fc.constantFrom(null, 'machine lost' as const, 'member ended' as const),
  });
  const reports = fc.array(
    fc.record({ generation: fc.integer({ min: 0, max: 2 }), members: fc.array(report, { maxLength: 4 }) }),
    {
      maxLength: 2,
    },
  );
  const step = fc.record({ reports, assigned: fc.boolean(), waitMs: fc.integer({ min: 0, max: 40_000 }) });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
      let record = null as GroupRecord | null;
      let wall = 1000;
      for (const { reports, assigned, waitMs } of steps) {
        wall += waitMs;
        const context = contextOf(
          wall,
          reports.map((entry) => ({ job: 'j-1', ...entry })),
        );
        const job = groupJob(assigned);
        const before: GroupRecord | null = record;
        const canPlace = mayPlace(job, before, context);
        if (canPlace) assert.ok(!assigned && (before === null || before.state === 'waiting'));
        const after: GroupRecord | null = canPlace ? reserve(before, MEMBERS, wall) : nextRecord(job, before, context);
        if (after === null) continue;
        assert.ok(GROUP_TRANSITIONS[before?.state ?? 'waiting'].includes(after.state));
        assert.equal(after.generation, (before?.generation ?? 0) + (after.state === 'reserved' ? 1 : 0));
        job.isCancelled = true;
        assert.equal(nextRecord(job, before, context), null);
        record = after;
      }
    }),
    { seed: 391, numRuns: 1000 },
  );
});
