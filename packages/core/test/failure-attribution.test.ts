// Broken jobs fail on every machine, and machines at fault fail every job. An owner once took any machine on which two
// jobs had failed for one at fault: a few broken arrays had it drain and return most of a healthy fleet.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { FailureAttribution, type JobEvidence } from '../src/index';
import { CLUSTER_CONFIG } from './fixtures';

const UNKNOWN: JobEvidence = {
  hasCompleted: false,
  isOver: false,
  isMarkedCrashLooping: false,
  runningOn: 0,
  longestRunMs: 0,
};

test('a job that failed on two machines and runs on none is crash-looping, and neither of them is held responsible', () => {
  const failures = new FailureAttribution(CLUSTER_CONFIG);
  for (const machine of ['m-1', 'm-2']) {
    failures.failed('j-1', machine, 0, 100);
    failures.failed('j-2', machine, 0, 100);
  }
  failures.review(() => UNKNOWN);
  assert.equal(failures.verdictOn('j-1'), 'crash-looping');
  assert.equal(failures.isQuarantined('m-1'), false);
  assert.equal(failures.isOnProbation('m-1', 200), false);
});

test('a machine gets no new work for a while when two jobs failed there, and is quarantined once both run elsewhere', () => {
  const failures = new FailureAttribution(CLUSTER_CONFIG);
  failures.failed('j-1', 'm-1', 0, 100);
  failures.failed('j-2', 'm-1', 0, 100);
  failures.review(() => UNKNOWN);
  assert.equal(failures.isQuarantined('m-1'), false);
  assert.equal(failures.isOnProbation('m-1', 200), true);
  assert.equal(failures.isOnProbation('m-1', 100 + CLUSTER_CONFIG.workerLeaseMs), false);
  const runs = (ms: number): void => failures.review(() => ({ ...UNKNOWN, runningOn: 1, longestRunMs: ms }));
  runs(CLUSTER_CONFIG.heartbeatIntervalMs * 3);
  assert.equal(failures.isQuarantined('m-1'), false);
  runs(CLUSTER_CONFIG.heartbeatIntervalMs * 3 + 1);
  assert.equal(failures.isQuarantined('m-1'), true);
});

test('a job that takes long to fail has to run longer elsewhere before a machine is held responsible for it', () => {
  const failures = new FailureAttribution(CLUSTER_CONFIG);
  for (const job of ['j-1', 'j-2']) failures.failed(job, 'm-1', 20_000, 100);
  failures.review(() => ({ ...UNKNOWN, runningOn: 1, longestRunMs: 40_000 }));
  assert.equal(failures.isQuarantined('m-1'), false);
  failures.review(() => ({ ...UNKNOWN, runningOn: 1, longestRunMs: 44_000 }));
  assert.equal(failures.isQuarantined('m-1'), true);
});

test('a task that completes exonerates its machine, and has those on which its job failed held responsible', () => {
  const failures = new FailureAttribution(CLUSTER_CONFIG);
  for (const job of ['j-1', 'j-2']) {
    failures.failed(job, 'm-1', 0, 100);
    failures.failed(job, 'm-2', 0, 100);
  }
  failures.completed('j-1', 'm-3', 200);
  failures.completed('j-2', 'm-3', 200);
  assert.equal(failures.isQuarantined('m-1'), true);
  failures.completed('j-3', 'm-2', 300);
  assert.equal(failures.isQuarantined('m-2'), false);
});

// Tasks of other jobs completed on the only machine where it was tried: its failures there were forgotten each time.
test('a machine on which others complete is no reason to try a broken job there again', () => {
  const failures = new FailureAttribution(CLUSTER_CONFIG);
  failures.failed('j-1', 'm-1', 0, 100);
  failures.completed('j-9', 'm-1', 200);
  failures.review(() => UNKNOWN);
  assert.equal(failures.isExcluded('j-1', 'm-1', 300), true);
  failures.failed('j-1', 'm-2', 0, 400);
  failures.review(() => UNKNOWN);
  assert.equal(failures.verdictOn('j-1'), 'crash-looping');
  // Nor is the machine held responsible, should it run after all.
  failures.failed('j-2', 'm-1', 0, 150);
  for (const job of ['j-1', 'j-2']) failures.completed(job, 'm-3', 500);
  assert.equal(failures.isQuarantined('m-1'), false);
});

test('a job that is over is forgotten, and machines are held responsible for it only if it was done', () => {
  for (const hasCompleted of [true, false]) {
    const failures = new FailureAttribution(CLUSTER_CONFIG);
    for (const job of ['j-1', 'j-2']) failures.failed(job, 'm-1', 0, 100);
    failures.review(() => ({ ...UNKNOWN, isOver: true, hasCompleted }));
    assert.equal(failures.isQuarantined('m-1'), hasCompleted);
    assert.equal(failures.verdictOn('j-1'), null);
  }
});

// The hard case: both at the same time, in any order.
test('whatever fails in which order, machines at fault alone are quarantined and broken jobs alone end as crash-looping', () => {
  const machines = ['m-0', 'm-1', 'm-2', 'm-3', 'm-4', 'm-5'];
  const jobs = ['j-0', 'j-1', 'j-2', 'j-3', 'j-4'];
  fc.assert(
    fc.property(
      fc.subarray(machines, { maxLength: 3 }),
      fc.subarray(jobs, { maxLength: 3 }),
      fc.array(fc.record({ job: fc.constantFrom(...jobs), machine: fc.constantFrom(...machines) }), {
        minLength: 20,
        maxLength: 120,
      }),
      (faulty, broken, starts) => {
        const failures = new FailureAttribution(CLUSTER_CONFIG);
        const completed = new Set<string>();
        const failed = new Map<string, Set<string>>();
        starts.forEach(({ job, machine }, i) => {
          if (faulty.includes(machine) || broken.includes(job)) {
            failures.failed(job, machine, 0, i * 100);
            failed.set(machine, (failed.get(machine) ?? new Set()).add(job));
          } else {
            completed.add(job);
            failed.delete(machine);
            failures.completed(job, machine, i * 100);
          }
          failures.review((id) => ({ ...UNKNOWN, hasCompleted: completed.has(id) }));
        });
        for (const machine of machines) {
          if (failures.isQuarantined(machine)) assert.ok(faulty.includes(machine), `${machine} is healthy`);
          // Two jobs failed there that completed elsewhere: it has to be found.
          const proof = [...(failed.get(machine) ?? [])].filter((job) => completed.has(job));
          if (faulty.includes(machine) && proof.length >= 2) assert.ok(failures.isQuarantined(machine), machine);
        }
        for (const job of jobs) {
          if (failures.verdictOn(job) === 'crash-looping') assert.ok(!completed.has(job), `${job} can run`);
        }
      },
    ),
    { seed: 391, numRuns: 500 },
  );
});
