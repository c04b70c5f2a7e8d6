// One mutant for each check of progress, of operations, and of limits of links and the state service; mutants.test.ts
// runs them.
import { Autoscaler, ClaimTable, FailureAttribution } from '@gingerlock/core';
import { PartitionOwner } from '@gingerlock/daemon';
import { MAX_FRAME_BYTES } from '@gingerlock/peer';
import type { Fault, Invariant } from '../../src/index';
import { type Mutant, patch } from './mutant';

const BROKEN_JOBS: Fault = { kind: 'broken jobs', count: 3, tasks: 40, everyMs: 3000, cancelAfterMs: 60_000 };

/** Mutants that `LivenessAudit`, `OperationsAudit`, links and the state service must detect. */
export const OPERATIONS_MUTANTS = {
  frame_too_large: {
    broken: 'a machine is published with an image whose name is longer than a frame',
    apply: () =>
      patch(
        PartitionOwner.prototype,
        'status',
        (original) =>
          function (this: PartitionOwner, now) {
            const status = original.call(this, now);
            const images = ['i'.repeat(MAX_FRAME_BYTES)];
            return { ...status, machines: status.machines.slice(0, 1).map((machine) => ({ ...machine, images })) };
          },
      ),
  },
  worker_message_too_large: {
    broken: 'tasks seem to need no space in the reports of workers',
    options: { jobs: { tasks: 4000, cpus: 0.001, gpus: 0, memoryGb: 0.001, spread: false } },
    forMs: 20_000,
    apply: () =>
      patch(
        ClaimTable.prototype,
        'freeResources',
        (original) =>
          function (this: ClaimTable, machine) {
            return { ...original.call(this, machine), reportBytes: 1e9 };
          },
      ),
  },
  left_waiting: {
    broken: 'owners grant no tasks',
    apply: () =>
      patch(
        ClaimTable.prototype,
        'handleHeartbeat',
        (original) =>
          function (this: ClaimTable, heartbeat, now) {
            return original.call(this, heartbeat, now, false);
          },
      ),
  },
  rented_in_vain: {
    broken: 'all empty machines are returned, even if tasks are planned for them',
    apply: () =>
      patch(
        Autoscaler.prototype,
        'plan',
        (original) =>
          function (this: Autoscaler, input) {
            const plan = original.call(this, input);
            const machines = input.statuses.flatMap((status) => status.machines);
            return { ...plan, scaleIn: machines.filter(({ empty }) => empty).map(({ name }) => name) };
          },
      ),
  },
  refused: {
    broken: 'controllers write transactions with more operations than the state service accepts',
    // Many writes are pending when an outage ends.
    faults: [
      { kind: 'state limits' },
      { kind: 'small jobs', perS: 4, forMs: 30_000 },
      { kind: 'state outage', forMs: 8000 },
    ],
    apply: (world) => {
      for (const { controller } of world().nodes) Object.assign(controller!.settings, { maxTransactionOps: 12 });
      return () => undefined;
    },
  },
  condemned_healthy: {
    broken: 'any two jobs that fail on a machine quarantine it',
    faults: [BROKEN_JOBS],
    apply: () =>
      patch(
        FailureAttribution.prototype,
        'isQuarantined',
        () =>
          function (this: FailureAttribution, machine) {
            return this.jobsFailedOn(machine) >= 2;
          },
      ),
  },
  retried_often: {
    broken: 'each task of a crash-looping job is retried on its own',
    faults: [BROKEN_JOBS],
    apply: () => {
      const restoreCheck = patch(ClaimTable.prototype, 'isCrashLooping', () => () => false);
      const restoreMark = patch(ClaimTable.prototype, 'marksCrashLoopOnReturn', () => () => false);
      return () => {
        restoreCheck();
        restoreMark();
      };
    },
  },
  forgotten_machine: {
    broken: 'no machine is ever returned',
    faults: [{ kind: 'boot trouble', never: 1, factor: 1, forMs: 20_000 }],
    apply: () =>
      patch(
        Autoscaler.prototype,
        'plan',
        (original) =>
          function (this: Autoscaler, input) {
            return { ...original.call(this, input), scaleIn: [] };
          },
      ),
  },
} satisfies Partial<Record<Invariant, Mutant>>;
