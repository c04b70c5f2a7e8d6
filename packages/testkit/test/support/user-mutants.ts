// One mutant for each check of what users see; mutants.test.ts runs them.
import { DependencyGraph, Job } from '@gingerlock/core';
import { Controller } from '@gingerlock/daemon';
import { decodeSubmission, encodeJobState } from '@gingerlock/wire';
import type { Invariant } from '../../src/index';
import { type Mutant, patch } from './mutant';

/** Mutants that the simulated users must detect. */
export const USER_MUTANTS = {
  forgotten: {
    broken: 'jobs are accepted without being stored',
    apply: () =>
      patch(Controller.prototype, 'submit', () => (body) => {
        const { id } = decodeSubmission(body);
        return Promise.resolve({ status: 201, body: encodeJobState({ id, status: 'queued' }) });
      }),
  },
  invented: {
    broken: 'unknown jobs are reported as queued',
    apply: () =>
      patch(
        Controller.prototype,
        'poll',
        (original) =>
          async function (this: Controller, id) {
            const reply = await original.call(this, id);
            return reply.status === 404 ? { status: 200, body: encodeJobState({ id, status: 'queued' }) } : reply;
          },
      ),
  },
  not_done: {
    broken: 'a job is complete with one task unfinished',
    apply: () => {
      const descriptor = Object.getOwnPropertyDescriptor(Job.prototype, 'isComplete')!;
      Object.defineProperty(Job.prototype, 'isComplete', {
        configurable: true,
        get(this: Job) {
          return this.finishedCount >= this.spec.tasks - 1;
        },
      });
      return () => Object.defineProperty(Job.prototype, 'isComplete', descriptor);
    },
  },
  went_back: {
    broken: 'one controller reports every final state as cancelled',
    apply: (world) => {
      const { outcomes } = world().nodes[1]!.controller!.clusterState.jobs;
      const get = outcomes.get.bind(outcomes);
      outcomes.get = (id) => (get(id) === undefined ? undefined : 'cancelled');
      return () => undefined;
    },
  },
  accepted_bad: {
    broken: 'jobs that can never run are accepted',
    faults: [{ kind: 'odd requests', forMs: 60_000 }],
    apply: () =>
      patch(
        Controller.prototype,
        'submit',
        (original) =>
          async function (this: Controller, body) {
            const reply = await original.call(this, body);
            if (reply.status !== 422) return reply;
            return { status: 201, body: encodeJobState({ id: decodeSubmission(body).id, status: 'queued' }) };
          },
      ),
  },
  orphaned: {
    broken: 'cancelling a job does not cancel its dependents',
    faults: [{ kind: 'pipelines', everyMs: 3000, forMs: 30_000, seed: 3 }],
    apply: () => patch(DependencyGraph.prototype, 'cancelDependents', () => () => undefined),
  },
  unanswered: {
    broken: 'polls and repeated submissions always get 503',
    apply: () => {
      const retryLater = { status: 503, body: null, retryAfterS: 1 };
      const restorePoll = patch(Controller.prototype, 'poll', () => () => Promise.resolve(retryLater));
      const restoreSubmit = patch(
        Controller.prototype,
        'submit',
        (original) =>
          async function (this: Controller, body) {
            const reply = await original.call(this, body);
            return reply.status === 200 ? retryLater : reply;
          },
      );
      return () => {
        restorePoll();
        restoreSubmit();
      };
    },
  },
} satisfies Partial<Record<Invariant, Mutant>>;
