// Breaks the code on purpose, once for each rule of the protocol: a check that can't fail would prove nothing.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Accounts } from '@gingerlock/borrowing';
import { WatchCache } from '@gingerlock/clients';
import {
  ClaimTable,
  DependencyGraph,
  FailureAttribution,
  Autoscaler,
  Job,
  JobTable,
  Ownership,
} from '@gingerlock/core';
import { Controller, LeaderBorrowing, OwnerReclaims, PartitionOwner } from '@gingerlock/daemon';
import { MAX_FRAME_BYTES } from '@gingerlock/peer';
import { encodeJobState, decodeSubmission, PRIORITIES } from '@gingerlock/wire';
import { type Fault, runScenario, type Invariant, World } from '../src/index';
import { GROUP_MUTANTS } from './group-mutants';
import { type Mutant, patch } from './mutant';

/** Alters every job as it is read from the state service. */
function readJobsAs(alter: (job: Job) => void): () => void {
  return patch(
    JobTable.prototype,
    'applyJob',
    (original) =>
      function (this: JobTable, id, value, version) {
        const record = original.call(this, id, value, version);
        const job = this.live.get(id);
        if (job !== undefined) alter(job);
        return record;
      },
  );
}

/** A fleet that can not grow, in which one team's surge takes what another's batch work has. */
const BORROWING: Pick<Mutant, 'faults' | 'options'> = {
  options: { capacity: 2, gpusMax: 48, guaranteedGpus: 34, features: { borrowing: { enabled: true, max_share: 0.5 } } },
  faults: [
    { kind: 'batch wave', team: 1, tasks: 50, estimateS: 40 },
    { kind: 'batch wave', team: 0, tasks: 6, estimateS: 40 },
    { kind: 'surge', team: 0, replicas: 12, everyMs: 1500, forMs: 60_000 },
    { kind: 'surge', team: 1, replicas: 12, everyMs: 1500, forMs: 60_000 },
  ],
};

/** Workers get no stops, neither in answers nor directly. */
function dropStops(): () => void {
  const answers = patch(
    ClaimTable.prototype,
    'handleHeartbeat',
    (original) =>
      function (this: ClaimTable, heartbeat, now, mayGrant) {
        const outcome = original.call(this, heartbeat, now, mayGrant);
        if (outcome.kind !== 'answer') return outcome;
        return { ...outcome, commands: outcome.commands.filter((c) => c.op !== 'stop') };
      },
  );
  const direct = patch(
    ClaimTable.prototype,
    'syncJob',
    (original) =>
      function (this: ClaimTable, id, now) {
        original.call(this, id, now);
        return [];
      },
  );
  return () => {
    answers();
    direct();
  };
}

/** Alters every claim table each time before it looks at what time alone ends. */
function beforeTick(alter: (claimTable: ClaimTable, now: number) => void): () => void {
  return patch(
    ClaimTable.prototype,
    'tick',
    (original) =>
      function (this: ClaimTable, now) {
        alter(this, now);
        return original.call(this, now);
      },
  );
}

const BROKEN_JOBS: Fault = { kind: 'broken jobs', count: 3, tasks: 40, everyMs: 3000, cancelAfterMs: 60_000 };

const mutants: Record<Invariant, Mutant> = {
  ...GROUP_MUTANTS,
  below_guarantee: {
    ...BORROWING,
    broken: 'what surely runs of a team is taken for ten times as much',
    apply: () =>
      patch(
        Accounts.prototype,
        'of',
        (original) =>
          function (this: Accounts, team) {
            const account = original.call(this, team);
            if (account === undefined) return undefined;
            const { cpus, gpus, memoryGb } = account.low;
            return { ...account, low: { cpus: cpus * 10, gpus: gpus * 10, memoryGb } };
          },
      ),
  },
  promised_twice: {
    ...BORROWING,
    broken: 'the leader does not see what is under way',
    apply: () =>
      patch(
        LeaderBorrowing.prototype,
        'plan',
        (original) =>
          function (this: LeaderBorrowing, view) {
            const { reclaims } = this.context.clusterState;
            const stored = [...reclaims];
            reclaims.clear();
            try {
              return original.call(this, view);
            } finally {
              for (const [partitionId, ofPartition] of stored) reclaims.set(partitionId, ofPartition);
            }
          },
      ),
  },
  replica_reclaimed: {
    faults: BORROWING.faults!,
    options: {
      ...BORROWING.options,
      guaranteedGpus: 0,
      load: 3,
      jobs: {
        kind: 'service',
        priority: 'production',
        gpus: 1,
        spot: false,
        zone: null,
        spread: false,
        oneZone: false,
      },
    },
    broken: 'priorities are read upside down',
    apply: () =>
      readJobsAs((job) => {
        const upsideDown = PRIORITIES.length - 1 - PRIORITIES.indexOf(job.spec.priority);
        Object.defineProperty(job, 'ownPriority', { configurable: true, get: () => upsideDown });
        job.effectivePriority = job.ownPriority;
      }),
  },
  endless_reclaim: {
    ...BORROWING,
    forMs: 200_000,
    broken: 'reclaims that are over are never removed',
    apply: () => {
      const removals = patch(OwnerReclaims.prototype, 'removals', () => () => []);
      const abandoned = patch(LeaderBorrowing.prototype, 'abandoned', () => () => []);
      return () => {
        removals();
        abandoned();
      };
    },
  },
  overcommitted: {
    broken: 'machines are taken for larger than they are',
    apply: () =>
      patch(
        ClaimTable.prototype,
        'freeResources',
        (original) =>
          function (this: ClaimTable, machine) {
            const available = original.call(this, machine);
            return { cpus: available.cpus + 32, gpus: available.gpus + 8, memoryGb: available.memoryGb + 128 };
          },
      ),
  },
  frame_too_large: {
    broken: 'a machine is told of with an image whose name is longer than a frame',
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
  ran_twice: {
    broken: 'claims end after a little more than one report interval of silence',
    apply: () =>
      beforeTick((claimTable, now) => {
        for (const m of claimTable.machines.values()) {
          if (m.answeredAt !== null && now - m.answeredAt > claimTable.clusterConfig.heartbeatIntervalMs * 1.3)
            m.answeredAt = -1e9;
        }
      }),
  },
  quota: {
    broken: 'team limits are read ten times too high',
    apply: (world) => {
      for (const node of world().nodes) {
        const teams = node.controller!.settings.clusterConfig.teams as unknown as Map<string, { gpusMax: number }>;
        for (const team of teams.values()) team.gpusMax *= 10;
      }
      return () => undefined;
    },
  },
  wrong_place: {
    broken: 'zones of jobs are ignored',
    apply: () =>
      readJobsAs((job) => {
        job.spec = { ...job.spec, spread: false, oneZone: false, zone: null };
      }),
  },
  ran_cancelled: {
    broken: 'workers are never told to stop',
    apply: dropStops,
  },
  forgotten: {
    broken: 'jobs are accepted without being written',
    apply: () =>
      patch(Controller.prototype, 'submit', () => (body) => {
        const { id } = decodeSubmission(body);
        return Promise.resolve({ status: 201, body: encodeJobState({ id, status: 'queued' }) });
      }),
  },
  invented: {
    broken: 'unknown jobs are called queued',
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
    broken: 'a job counts as complete with one task missing',
    apply: () => {
      const descriptor = Object.getOwnPropertyDescriptor(Job.prototype, 'complete')!;
      Object.defineProperty(Job.prototype, 'complete', {
        configurable: true,
        get(this: Job) {
          return this.finishedCount >= this.spec.tasks - 1;
        },
      });
      return () => Object.defineProperty(Job.prototype, 'complete', descriptor);
    },
  },
  went_back: {
    broken: 'one controller reads every final state as cancelled',
    apply: (world) => {
      const { finals } = world().nodes[1]!.controller!.clusterState.jobs;
      const get = finals.get.bind(finals);
      finals.get = (id) => (get(id) === undefined ? undefined : 'cancelled');
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
  start_cancelled: {
    broken: 'owners keep the waiting tasks of cancelled jobs and start them',
    faults: [{ kind: 'machines hang', machine: 0, count: 6, forMs: 5500 }],
    apply: () => {
      const kept = patch(ClaimTable.prototype, 'returnable', () => () => new Map());
      const started = patch(
        ClaimTable.prototype,
        'waitingTasks',
        () =>
          function* (this: ClaimTable, job) {
            for (const task of this.tasksByJob.get(job.id)?.values() ?? []) if (task.state === 'waiting') yield task;
          },
      );
      return () => {
        kept();
        started();
      };
    },
  },
  left_waiting: {
    broken: 'owners start nothing',
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
    broken: 'machines that hold nothing are given back, whatever is planned for them',
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
  too_early: {
    broken: 'every job counts as ready',
    faults: [{ kind: 'pipelines', everyMs: 4000, forMs: 30_000, seed: 3 }],
    apply: () =>
      readJobsAs((job) => {
        job.ready = true;
      }),
  },
  orphaned: {
    broken: 'the cancellation of a job is not passed on to those that need it',
    faults: [{ kind: 'pipelines', everyMs: 3000, forMs: 30_000, seed: 3 }],
    apply: () => patch(DependencyGraph.prototype, 'cancelDependents', () => () => undefined),
  },
  refused: {
    broken: 'controllers write transactions of any length',
    // After an outage much is to be written at once.
    faults: [
      { kind: 'state limits' },
      { kind: 'small jobs', perS: 4, forMs: 30_000 },
      { kind: 'state outage', forMs: 8000 },
    ],
    apply: (world) => {
      for (const { controller } of world().nodes) Object.assign(controller!.settings, { txnOps: 12 });
      return () => undefined;
    },
  },
  deposed_owner: {
    broken: 'owners do not look at the records while they put their holds back',
    faults: [{ kind: 'lapsed apart', node: 0, lapseMs: 3000, forMs: 40_000 }],
    apply: () => {
      const decides = patch(
        Ownership.prototype,
        'decide',
        (original) =>
          function (this: Ownership, ...view) {
            return this.state === 'resuming' ? { kind: 'none' } : original.apply(this, view);
          },
      );
      const answers = patch(
        PartitionOwner.prototype,
        'isOwner',
        () =>
          function (this: PartitionOwner) {
            return this.ownershipTerm.isCurrent;
          },
      );
      return () => {
        decides();
        answers();
      };
    },
  },
  free_but_running: {
    broken: 'fencing periods last for a report interval',
    faults: [
      { kind: 'mute machines', machine: 0, count: 24, how: 'lose', forMs: 5000 },
      { kind: 'crash', nodes: [0, 1], backMs: 10_000 },
    ],
    apply: () =>
      beforeTick((claimTable) => {
        claimTable.fencedUntil = Math.min(
          claimTable.fencedUntil,
          claimTable.openedAt + claimTable.clusterConfig.heartbeatIntervalMs,
        );
      }),
  },
  stale_entry: {
    broken: 'waiting tasks forget their zones',
    apply: () =>
      patch(
        ClaimTable.prototype,
        'syncJob',
        (original) =>
          function (this: ClaimTable, id, now) {
            const stopped = original.call(this, id, now);
            for (const task of this.tasksByJob.get(id)?.values() ?? []) task.zone = null;
            return stopped;
          },
      ),
  },
  condemned_healthy: {
    broken: 'any two jobs that failed on a machine convict it',
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
    broken: 'each task of a failing job is retried for itself',
    faults: [BROKEN_JOBS],
    apply: () => {
      const held = patch(ClaimTable.prototype, 'isCrashLooping', () => () => false);
      const marked = patch(ClaimTable.prototype, 'marksCrashLoopOnReturn', () => () => false);
      return () => {
        held();
        marked();
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
  unanswered: {
    broken: 'questions are put off for ever',
    apply: () => {
      const later = { status: 503, body: null, retryAfterS: 1 };
      const polls = patch(Controller.prototype, 'poll', () => () => Promise.resolve(later));
      const repeats = patch(
        Controller.prototype,
        'submit',
        (original) =>
          async function (this: Controller, body) {
            const reply = await original.call(this, body);
            return reply.status === 200 ? later : reply;
          },
      );
      return () => {
        polls();
        repeats();
      };
    },
  },
};

for (const [rule, { broken, apply, faults: own = [], options, forMs = 90_000 }] of Object.entries(mutants)) {
  test(`the check of ${rule} fails when ${broken}`, async () => {
    const seen = new Set<Invariant>();
    // What a mutant breaks takes its moment: it shows on one of a few days.
    for (const seed of [11, 12, 13, 14]) {
      let world: World | null = null;
      let restore = (): void => undefined;
      // Some break the classes before controllers start, some the controllers once they have.
      const late = rule === 'quota' || rule === 'went_back' || rule === 'refused';
      if (!late) restore = apply(() => world!);
      try {
        world = new World({
          seed,
          gpusMax: rule === 'quota' ? 3 : 10,
          ...options,
          ...(rule === 'refused' ? { nextLimits: { valueKb: 2, txnOps: 4, writesPerS: 70 }, load: 3 } : {}),
        });
        if (late) restore = apply(() => world!);
        // Machines that can't be heard for a while go on running what they run.
        const mute = [0, 1, 2, 3, 4, 5].map((machine) => ({
          at: 15_000 + machine * 4000,
          fault: { kind: 'mute machines' as const, machine, count: 1, how: 'lose' as const, forMs: 4500 },
        }));
        const faults = [...mute, ...own.map((fault) => ({ at: 12_000, fault }))];
        await runScenario(world, { seed, forMs, faults });
        for (const b of world.violations) seen.add(b.rule);
      } finally {
        restore();
      }
      if (seen.has(rule as Invariant)) return;
    }
    assert.fail(`seen: ${[...seen].join()}`);
  });
}

test('the check of ran_cancelled sees a task on a machine that hangs', async () => {
  const restore = dropStops();
  try {
    const world = new World({ seed: 12, jobs: { kind: 'service', spot: false } });
    const hang = { kind: 'machines hang' as const, machine: 0, count: 24, forMs: world.workerLeaseMs * 0.9 };
    const faults = [
      { at: 15_000, fault: { kind: 'cancel now' as const, count: 8, hangMs: world.workerLeaseMs * 0.9 } },
      { at: 15_000 + world.cancellationBoundMs - 2000, fault: hang },
    ];
    await runScenario(world, { seed: 12, forMs: 50_000, faults });
    assert.ok(
      world.violations.some((b) => b.rule === 'ran_cancelled' && b.detail.endsWith('which hangs')),
      `seen: ${world.violations.map((b) => b.detail).join()}`,
    );
  } finally {
    restore();
  }
});

test('close looks see an older answer when a controller answers without having read', async () => {
  const restore = patch(
    WatchCache.prototype,
    'linearizableRead',
    () =>
      function (this: WatchCache) {
        return new Promise<void>((resolve) => this.options.clock.after(1, resolve));
      },
  );
  try {
    const rules = new Set<Invariant>();
    for (const seed of [1, 2, 3]) {
      const world = new World({ seed, controllers: 5 });
      await runScenario(world, {
        seed,
        forMs: 60_000,
        faults: [{ at: 0, fault: { kind: 'close looks', forMs: 60_000 } }],
      });
      for (const b of world.violations) rules.add(b.rule);
    }
    // A job that was accepted is not known yet, one that was called cancelled or done still runs.
    assert.deepEqual([...rules].sort(), ['forgotten', 'went_back']);
  } finally {
    restore();
  }
});
