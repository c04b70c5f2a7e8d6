// Broken jobs fail on every machine, and faulty machines fail every job. If an owner quarantines any machine on which
// two jobs failed, a few broken arrays make it drain and return most of a healthy fleet.
import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import fc from 'fast-check';
import { FailureAttribution, type JobEvidence } from '../src/index';
import { CLUSTER_CONFIG } from './fixtures';

const UNKNOWN: JobEvidence = {
  hasCompleted: false,
  isOver: false,
  isMarkedCrashLooping: false,
  runningMachineCount: 0,
  longestRunMs: 0,
};

test('a job that failed on two machines and runs on none is crash-looping, and neither machine is held responsible', () => {
  const failures = new FailureAttribution(CLUSTER_CONFIG);
  for (const machine of ['m-1', 'm-2']) {
    failures.recordFailure('j-1', machine, 0, 100);
    failures.recordFailure('j-2', machine, 0, 100);
  }
  failures.updateVerdicts(() => UNKNOWN);
  assert.equal(failures.verdictOn('j-1'), 'crash-looping');
  assert.equal(failures.isQuarantined('m-1'), false);
  assert.equal(failures.isOnProbation('m-1', 200), false);
});

test('a machine gets no new work for a while when two jobs failed there, and is quarantined once both run elsewhere', () => {
  const failures = new FailureAttribution(CLUSTER_CONFIG);
  failures.recordFailure('j-1', 'm-1', 0, 100);
  failures.recordFailure('j-2', 'm-1', 0, 100);
  failures.updateVerdicts(() => UNKNOWN);
  assert.equal(failures.isQuarantined('m-1'), false);
  assert.equal(failures.isOnProbation('m-1', 200), true);
  assert.equal(failures.isOnProbation('m-1', 100 + CLUSTER_CONFIG.workerLeaseMs), false);
  const updateWithRunOf = (ms: number): void =>
    failures.updateVerdicts(() => ({ ...UNKNOWN, runningMachineCount: 1, longestRunMs: ms }));
  updateWithRunOf(CLUSTER_CONFIG.heartbeatIntervalMs * 3);
  assert.equal(failures.isQuarantined('m-1'), false);
  updateWithRunOf(CLUSTER_CONFIG.heartbeatIntervalMs * 3 + 1);
  assert.equal(failures.isQuarantined('m-1'), true);
});

test('a job that takes long to fail has to run longer elsewhere before a machine is held responsible', () => {
  const failures = new FailureAttribution(CLUSTER_CONFIG);
  for (const job of ['j-1', 'j-2']) failures.recordFailure(job, 'm-1', 20_000, 100);
  failures.updateVerdicts(() => ({ ...UNKNOWN, runningMachineCount: 1, longestRunMs: 40_000 }));
  assert.equal(failures.isQuarantined('m-1'), false);
  failures.updateVerdicts(() => ({ ...UNKNOWN, runningMachineCount: 1, longestRunMs: 44_000 }));
  assert.equal(failures.isQuarantined('m-1'), true);
});

test('a completed task clears its machine, and makes the machines on which its job failed responsible', () => {
  const failures = new FailureAttribution(CLUSTER_CONFIG);
  for (const job of ['j-1', 'j-2']) {
    failures.recordFailure(job, 'm-1', 0, 100);
    failures.recordFailure(job, 'm-2', 0, 100);
  }
  failures.recordCompletion('j-1', 'm-3', 200);
  failures.recordCompletion('j-2', 'm-3', 200);
  assert.equal(failures.isQuarantined('m-1'), true);
  failures.recordCompletion('j-3', 'm-2', 300);
  assert.equal(failures.isQuarantined('m-2'), false);
});

// If completions of other jobs on a machine erase a broken job's failures there, the job is retried there each time.
test('completions of other jobs on a machine do not let a broken job start there again', () => {
  const failures = new FailureAttribution(CLUSTER_CONFIG);
  failures.recordFailure('j-1', 'm-1', 0, 100);
  failures.recordCompletion('j-9', 'm-1', 200);
  failures.updateVerdicts(() => UNKNOWN);
  assert.equal(failures.isExcluded('j-1', 'm-1', 300), true);
  failures.recordFailure('j-1', 'm-2', 0, 400);
  failures.updateVerdicts(() => UNKNOWN);
  assert.equal(failures.verdictOn('j-1'), 'crash-looping');
  // The machine is not held responsible either if the job proves able to run.
  failures.recordFailure('j-2', 'm-1', 0, 150);
  for (const job of ['j-1', 'j-2']) failures.recordCompletion(job, 'm-3', 500);
  assert.equal(failures.isQuarantined('m-1'), false);
});

test('a job that is over is forgotten, and machines are held responsible for its failures only if it completed', () => {
  for (const hasCompleted of [true, false]) {
    const failures = new FailureAttribution(CLUSTER_CONFIG);
    for (const job of ['j-1', 'j-2']) failures.recordFailure(job, 'm-1', 0, 100);
    failures.updateVerdicts(() => ({ ...UNKNOWN, isOver: true, hasCompleted }));
    assert.equal(failures.isQuarantined('m-1'), hasCompleted);
    assert.equal(failures.verdictOn('j-1'), null);
  }
});

// Faulty machines and broken jobs at the same time, in any order.
test('in any order of failures, only faulty machines are quarantined and only broken jobs end as crash-looping', () => {
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
            failures.recordFailure(job, machine, 0, i * 100);
            failed.set(machine, (failed.get(machine) ?? new Set()).add(job));
          } else {
            completed.add(job);
            failed.delete(machine);
            failures.recordCompletion(job, machine, i * 100);
          }
          failures.updateVerdicts((id) => ({ ...UNKNOWN, hasCompleted: completed.has(id) }));
        });
        for (const machine of machines) {
          if (failures.isQuarantined(machine)) assert.ok(faulty.includes(machine), `${machine} is healthy`);
          // Two jobs that completed elsewhere failed on this machine, so it must be quarantined.
          const provenJobs = [...(failed.get(machine) ?? [])].filter((job) => completed.has(job));
          if (faulty.includes(machine) && provenJobs.length >= 2) assert.ok(failures.isQuarantined(machine), machine);
        }
        for (const job of jobs) {
          if (failures.verdictOn(job) === 'crash-looping') assert.ok(!completed.has(job), `${job} can run`);
        }
      },
    ),
    { seed: 391, numRuns: 500 },
  );
});

// Guards against an owner that goes through all failed jobs for each of its machines, several times in each tick.
test('whether a machine is on probation is found without the failures on other machines', () => {
  const lookupsWith = (jobCount: number): number => {
    const failures = new FailureAttribution(CLUSTER_CONFIG);
    for (let i = 0; i < jobCount; i++) failures.recordFailure(`j-${i}`, `m-${i}`, 0, 100);
    failures.recordFailure('j-0', 'm-1', 0, 100);
    const lookups = mock.method(Map.prototype, 'get');
    const isOnProbation = [failures.isOnProbation('m-0', 200), failures.isOnProbation('m-1', 200)];
    lookups.mock.restore();
    assert.deepEqual(isOnProbation, [false, true]);
    return lookups.mock.callCount();
  };
  assert.equal(lookupsWith(1_000), lookupsWith(10));
});
