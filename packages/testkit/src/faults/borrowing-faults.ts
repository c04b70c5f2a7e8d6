// Faults of borrowing: surges of demand, lenders that reclaim their GPUs, and controllers that crash between two steps
// of a reclaim.
import type { JobSpec } from '@gingerlock/wire';
import type { World } from '../simulation/world';
import { type FaultTargets, pollFor } from './fault-targets';
import { type FaultOfKind, type FaultTable, noDurationMs, statedDurationMs } from './fault-table';
import { type MachineIncident, injectIncident } from './machine-faults';

/** A fault while GPUs are lent and reclaimed. `team` is the index of a team. */
export type BorrowingFault =
  /** A team submits services of one replica each, one by one, and cancels them all at the end. */
  | {
      readonly kind: 'surge';
      readonly team: number;
      readonly replicas: number;
      readonly everyMs: number;
      readonly forMs: number;
    }
  /** A team submits one array of long tasks. */
  | { readonly kind: 'batch wave'; readonly team: number; readonly tasks: number; readonly estimateS: number }
  /** Controllers repeatedly crash as a reclaim reaches the step. */
  | {
      readonly kind: 'crash at reclaim';
      readonly who: 'leader' | 'owner' | 'both';
      readonly step: ReclaimStep;
      readonly backMs: number;
      readonly forMs: number;
    }
  /** An incident affects a share of the machines of victims as a reclaim is decided. */
  | {
      readonly kind: 'victims trouble';
      readonly what: MachineIncident;
      readonly share: number;
      readonly forMs: number;
    }
  /** A share of the jobs for which GPUs are reclaimed is cancelled as the reclaim is decided. */
  | { readonly kind: 'beneficiaries cancelled'; readonly share: number; readonly forMs: number };

/** A step of a reclaim: stored, some victim stopping, or all victims gone. */
export type ReclaimStep = 'decided' | 'stopping' | 'freed';

/** The duration of a fault whose effect on a reclaim decided at its end may last for `forMs` more. */
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
      onNewReclaims(world, fault.forMs, (machine) => injectIncidentOnVictims(world, machine, fault)),
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
    world.sim.after(startsAt, () => void world.users.submitAndFollow(spec, Math.max(0, forMs - startsAt)));
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
  void world.users.submitAndFollow(spec, null);
}

/** Calls `onReclaim` for each reclaim that is stored within `forMs` from now. */
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

function injectIncidentOnVictims(
  world: World,
  machine: string,
  { what, share, forMs }: FaultOfKind<BorrowingFault, 'victims trouble'>,
): void {
  if (!world.workers.has(machine) || world.sim.random() >= share) return;
  world.recordOccurrence(`victims ${what}`);
  injectIncident(world, machine, what, forMs);
}

/** Whether any reclaim is at the step now. */
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
    for (const name of controllersOfReclaims(world, who)) targets.crashAndRestart(name, backMs);
    world.recordOccurrence(`crash at ${step}`);
    nextAt = sim.now + backMs * 2 + world.workerLeaseMs;
  });
}

/** The names of the leader, of the owners of partitions with a reclaim, or of both. */
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
