// What borrowing has to live through: surges that come, grow and end, lenders that want their GPUs back, and
// controllers that end between two steps of a reclaim.
import type { JobSpec } from '@gingerlock/wire';
import type { World } from '../simulation/world';
import { type FaultTargets, pollFor } from './fault-targets';
import { type FaultOfKind, type FaultTable, noDurationMs, statedDurationMs } from './fault-table';
import { type MachineIncident, strikeMachine } from './machine-faults';

/** A fault that strikes while GPUs are lent and reclaimed. `team` is the number of a team. */
export type BorrowingFault =
  /** A team submits services of one replica after the other, and cancels them all at the end. */
  | {
      readonly kind: 'surge';
      readonly team: number;
      readonly replicas: number;
      readonly everyMs: number;
      readonly forMs: number;
    }
  /** A team submits arrays of long tasks, all at once. */
  | { readonly kind: 'batch wave'; readonly team: number; readonly tasks: number; readonly estimateS: number }
  /** Controllers end as a reclaim comes to that step, again and again. */
  | {
      readonly kind: 'crash at reclaim';
      readonly who: 'leader' | 'owner' | 'both';
      readonly step: ReclaimStep;
      readonly backMs: number;
      readonly forMs: number;
    }
  /** Machines on which tasks are to be stopped hang, are not heard, are taken back or die as a reclaim is decided. */
  | {
      readonly kind: 'victims trouble';
      readonly what: MachineIncident;
      readonly share: number;
      readonly forMs: number;
    }
  /** The jobs that GPUs are reclaimed for are cancelled midway. */
  | { readonly kind: 'beneficiaries cancelled'; readonly share: number; readonly forMs: number };

/** How far a reclaim has come: stored, its victims being stopped, or all its victims gone. */
export type ReclaimStep = 'decided' | 'stopping' | 'freed';

/** A fault that strikes each reclaim which is decided while it lasts may still strike as long afterwards. */
function twiceStatedDurationMs({ forMs }: { readonly forMs: number }): number {
  return forMs * 2;
}

/** Faults of borrowing by kind. */
export const BORROWING_FAULTS: FaultTable<BorrowingFault> = {
  surge: { inject: submitSurge, durationMs: statedDurationMs },
  'batch wave': { inject: submitBatchWave, durationMs: noDurationMs },
  'crash at reclaim': {
    inject: crashAtReclaim,
    durationMs: ({ forMs, backMs }, controllerCount) => forMs + backMs * controllerCount,
  },
  'victims trouble': {
    inject: (world, fault) =>
      onNewReclaims(world, fault.forMs, (machine) => strikeMachineOfVictims(world, machine, fault)),
    durationMs: twiceStatedDurationMs,
  },
  'beneficiaries cancelled': {
    inject: (world, { share, forMs }) =>
      onNewReclaims(world, forMs, (_machine, job) => {
        if (world.sim.random() < share) void world.users.cancel(job);
      }),
    durationMs: twiceStatedDurationMs,
  },
};

const TEAMS = ['red', 'blue'] as const;

const ONE_GPU = { cpus: 2, gpus: 1, memoryGb: 8, types: null, zone: null, oneZone: false, spread: false } as const;

function submitSurge(world: World, { team, replicas, everyMs, forMs }: FaultOfKind<BorrowingFault, 'surge'>): void {
  for (let i = 0; i < replicas; i++) {
    const spec: JobSpec = {
      ...world.randomJob(),
      ...ONE_GPU,
      team: TEAMS[team % TEAMS.length]!,
      kind: 'service',
      priority: 'high',
      tasks: 1,
      spot: false,
      estimateS: 0,
    };
    const startsAt = i * everyMs;
    world.sim.after(startsAt, () => void world.users.live(spec, Math.max(0, forMs - startsAt)));
  }
}

function submitBatchWave(world: World, { team, tasks, estimateS }: FaultOfKind<BorrowingFault, 'batch wave'>): void {
  const spec: JobSpec = {
    ...world.randomJob(),
    ...ONE_GPU,
    team: TEAMS[team % TEAMS.length]!,
    kind: 'array',
    priority: 'normal',
    tasks,
    spot: true,
    estimateS,
  };
  void world.users.live(spec, null);
}

/** Calls back for each reclaim that is stored from now on. */
function onNewReclaims(world: World, forMs: number, onReclaim: (machine: string, job: string) => void): void {
  const known = new Set(world.borrowing.stored.keys());
  pollFor(world, forMs, () => {
    for (const [key, { record }] of world.borrowing.stored) {
      if (known.has(key)) continue;
      known.add(key);
      onReclaim(record.machine, record.job);
    }
  });
}

function strikeMachineOfVictims(
  world: World,
  machine: string,
  { what, share, forMs }: FaultOfKind<BorrowingFault, 'victims trouble'>,
): void {
  if (!world.workers.has(machine) || world.sim.random() >= share) return;
  world.recordOccurrence(`victims ${what}`);
  strikeMachine(world, machine, what, forMs);
}

/** Whether some reclaim is at the step now. */
function isAnyReclaimAt(world: World, step: ReclaimStep): boolean {
  for (const { record } of world.borrowing.stored.values()) {
    const worker = world.workers.get(record.machine);
    const states = record.victims.map(({ task, attempt }) => worker?.tasks.get(`${task} ${attempt}`)?.state);
    switch (step) {
      case 'decided':
        if (states.every((state) => state === 'running' || state === 'fetching')) return true;
        break;
      case 'stopping':
        if (states.some((state) => state === 'saving' || state === 'exited')) return true;
        break;
      case 'freed':
        if (states.every((state) => state === undefined || state === 'exited')) return true;
        break;
    }
  }
  return false;
}

function crashAtReclaim(
  world: World,
  { who, step, backMs, forMs }: FaultOfKind<BorrowingFault, 'crash at reclaim'>,
  targets: FaultTargets,
): void {
  const { sim } = world;
  let nextAt = sim.now;
  pollFor(world, forMs, () => {
    if (sim.now < nextAt || !isAnyReclaimAt(world, step)) return;
    for (const name of controllersOfReclaims(world, who)) targets.crashFor(name, backMs);
    world.recordOccurrence(`crash at ${step}`);
    nextAt = sim.now + backMs * 2 + world.workerLeaseMs;
  });
}

/** The names of the leader, of the owners of partitions that have a reclaim, or of both. */
function controllersOfReclaims(world: World, who: 'leader' | 'owner' | 'both'): Set<string> {
  const names = new Set<string>();
  const leader = world.leader();
  if (who !== 'owner' && leader !== null) names.add(leader);
  if (who === 'leader') return names;
  const partitionIds = new Set([...world.borrowing.stored.keys()].map((key) => Number(key.split('/')[2])));
  for (const { name, controller } of world.nodes) {
    if (controller?.owned().some((owner) => partitionIds.has(owner.partitionId)) === true) names.add(name);
  }
  return names;
}
