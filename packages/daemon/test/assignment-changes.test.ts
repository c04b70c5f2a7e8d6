// The cost of turning an assignment of a huge array into changes of its record.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Job, type MachineStatus, NO_RESOURCES, type PartitionStatus } from '@gingerlock/core';
import { type AssignedRange, jobRecord, type JobSpec } from '@gingerlock/wire';
import { specOf } from '../../core/test/fixtures';
import { StepCounter } from '../../core/test/step-counter';
import type { ControllerContext } from '../src/controller/controller-context';
import { addAssignments } from '../src/leader/assignment-changes';
import type { CrashLoopProbes } from '../src/leader/crash-loop-probes';
import { JobBatch } from '../src/leader/job-batch';
import { TransactionSizeLimit } from '../src/state/transaction-size-limit';

const PROBES = { mustBeProbed: () => false } as unknown as CrashLoopProbes;

function contextOf(fitsValue: (value: unknown) => boolean): ControllerContext {
  const log = { error: () => undefined, info: () => undefined, debug: () => undefined };
  return { fitsValue, log, clusterState: { owners: new Map() } } as unknown as ControllerContext;
}

function jobOf(spec: JobSpec): Job {
  const job = new Job(spec.id);
  job.spec = spec;
  return job;
}

function newBatch(): JobBatch {
  return new JobBatch({ key: 'lead', version: 1 }, new TransactionSizeLimit(12, Infinity));
}

function countRanges(value: unknown): number {
  const record = jobRecord.read(value);
  return record.final === null ? record.assignedRanges.length : 0;
}

/** Ranges of one task each that can not be merged. */
function scatteredRanges(count: number): AssignedRange[] {
  return Array.from({ length: count }, (_, i) => ({ from: i * 2, count: 1, partitionId: 0, zone: null, term: 1 }));
}

// Guards against a leader that encodes the record of a job once for each range that does not fit.
test('the number of records encoded until one fits grows far more slowly than the ranges of an assignment', () => {
  const job = jobOf(specOf('j-1', { tasks: 100_000 }));
  for (const fittingRanges of [0, 1, 300, 9_999]) {
    const counter = new StepCounter(60);
    const batch = newBatch();
    const context = contextOf((value) => {
      counter.count();
      return countRanges(value) <= fittingRanges;
    });
    addAssignments(context, batch, PROBES, [{ job, added: scatteredRanges(10_000), intended: [] }], []);
    const change = batch.changes[0];
    const stored = change !== undefined && 'put' in change ? countRanges(change.value) : 0;
    assert.equal(stored, fittingRanges);
  }
});

// Guards against a leader that searches all machines for the partition of each assigned task.
test('the steps of recording planned uses grow with the machines and the tasks, not with their product', () => {
  const stepsFor = (machineCount: number): number => {
    const counter = new StepCounter(1e7);
    const machines = Array.from({ length: machineCount }, (_, i) =>
      counter.countReads({ name: `m-${i}` } as unknown as MachineStatus),
    );
    const status: PartitionStatus = {
      partitionId: 4,
      term: 1,
      revision: 0,
      machines,
      missing: NO_RESOURCES,
      running: [],
    };
    const job = jobOf(specOf('j-1', { tasks: machineCount }));
    const intended = machines.map((_, i) => ({ machine: `m-${i}`, need: job.need }));
    const added = [{ from: 0, count: machineCount, partitionId: 4, zone: null, term: 1 }];
    const uses = addAssignments(
      contextOf(() => true),
      newBatch(),
      PROBES,
      [{ job, added, intended }],
      [status],
    );
    assert.ok(uses.length === machineCount && uses.every(({ partitionId }) => partitionId === 4));
    return counter.steps;
  };
  assert.ok(stepsFor(4_000) <= stepsFor(1_000) * 4.4);
});
