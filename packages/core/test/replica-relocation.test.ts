import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  capacityOf,
  type ClaimView,
  Job,
  type Machine,
  relocateReplicas,
  type SpareCapacity,
  type TaskEntry,
} from '../src/index';
import { specOf } from './fixtures';
import { StepCounter } from './step-counter';

/** A draining machine with two running replicas. */
function drainingMachine(job: Job, index: number): Machine {
  const machine = { name: `m-${index}`, draining: true, evictionNotice: false, spot: false, claims: new Map() };
  for (const replica of [0, 1]) {
    const claim = { stopGraceS: null, stage: 'running', grantedAt: 0, machine };
    const task = { job, name: `j-1/${index * 2 + replica}`, zone: null, claim } as unknown as TaskEntry;
    machine.claims.set(task.name, task);
  }
  return machine as unknown as Machine;
}

/** Relocates the replicas of draining machines; returns how many are stopped, and the steps, which read a spare machine. */
function relocate(
  machineCount: number,
  spares: readonly SpareCapacity[],
): { readonly stopped: number; readonly steps: number } {
  const job = new Job('j-1');
  job.spec = specOf('j-1', { kind: 'service', gpus: 2, tasks: machineCount * 2 });
  const machines = Array.from({ length: machineCount }, (_, i) => drainingMachine(job, i));
  const view = {
    machines: new Map(machines.map((machine) => [machine.name, machine])),
    wakes: () => [],
    isSuspect: () => false,
    log: () => undefined,
  } as unknown as ClaimView;
  const counter = new StepCounter(1e7);
  const counted = spares.map((spare) => counter.countReads(spare));
  const stopped = relocateReplicas(view, new Map(), () => counted, 60_000);
  return { stopped: stopped.length, steps: counter.steps };
}

function spareOf(gpus: number): SpareCapacity {
  const { image } = specOf('j-1');
  return { type: 'box', zone: 'a', spot: false, free: capacityOf({ cpus: 8, gpus, memoryGb: 64 }), images: [image] };
}

// Guards against an owner that searches all spare machines for each of thousands of machines that are being drained.
test('the steps of a relocation that is not possible grow with the machines, not with their square', () => {
  for (const first of [spareOf(1), spareOf(2)]) {
    const spares = (count: number): SpareCapacity[] => [first, ...Array.from({ length: count }, () => spareOf(1))];
    const few = relocate(100, spares(100));
    const many = relocate(400, spares(400));
    assert.deepEqual([few.stopped, many.stopped], [0, 0]);
    assert.ok(many.steps <= few.steps * 4.4, `${few.steps} and ${many.steps} steps`);
  }
});

test('replicas are relocated if all of a machine fit at once, on one machine or on several', () => {
  assert.equal(relocate(3, [spareOf(1), spareOf(4)]).stopped, 2);
  assert.equal(relocate(3, [spareOf(2), spareOf(1), spareOf(3)]).stopped, 2);
  assert.equal(relocate(3, [spareOf(3), { ...spareOf(4), images: [] }]).stopped, 0);
});
