// What borrowing has to live through: surges that come, grow and end, lenders that want their GPUs back, and controllers that end between
// two steps of a reclaim.
import type { World } from '../simulation/world';

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
  /** Machines on which tasks are to be stopped hang, fall silent, are taken or die as a reclaim is decided. */
  | {
      readonly kind: 'victims trouble';
      readonly what: 'hang' | 'mute' | 'notice' | 'die';
      readonly share: number;
      readonly forMs: number;
    }
  /** The jobs that room is got for are cancelled midway. */
  | { readonly kind: 'beneficiaries cancelled'; readonly share: number; readonly forMs: number };

export type ReclaimStep = 'decided' | 'stopping' | 'freed';

const KINDS: ReadonlySet<string> = new Set([
  'surge',
  'batch wave',
  'crash at reclaim',
  'victims trouble',
  'beneficiaries cancelled',
]);

export function isBorrowingFault(fault: { readonly kind: string }): fault is BorrowingFault {
  return KINDS.has(fault.kind);
}

export function borrowingFaultMs(fault: BorrowingFault, controllers: number): number {
  switch (fault.kind) {
    case 'surge':
      return fault.forMs;
    case 'batch wave':
      return 0;
    case 'crash at reclaim':
      return fault.forMs + fault.backMs * controllers;
    default:
      return fault.forMs * 2;
  }
}

const TEAMS = ['red', 'blue'] as const;

/** How often it is looked whether a reclaim has come to a step. */
const LOOK_MS = 20;

export function injectBorrowingFault(world: World, fault: BorrowingFault): void {
  switch (fault.kind) {
    case 'surge':
      return surge(world, fault);
    case 'batch wave':
      return batchWave(world, fault);
    case 'crash at reclaim':
      return crashAtReclaim(world, fault);
    case 'victims trouble':
      return onNewReclaims(world, fault.forMs, (machine) => injectMachineFault(world, machine, fault));
    case 'beneficiaries cancelled':
      return onNewReclaims(world, fault.forMs, (_machine, job) => {
        if (world.sim.random() < fault.share) void world.users.cancel(job);
      });
  }
}

const ONE_GPU = { cpus: 2, gpus: 1, memoryGb: 8, types: null, zone: null, oneZone: false, spread: false } as const;

function surge(world: World, { team, replicas, everyMs, forMs }: BorrowingFault & { kind: 'surge' }): void {
  for (let i = 0; i < replicas; i++) {
    const spec = {
      ...world.randomJob(),
      ...ONE_GPU,
      team: TEAMS[team % TEAMS.length]!,
      kind: 'service' as const,
      priority: 'high' as const,
      tasks: 1,
      spot: false,
      estimateS: 0,
    };
    const startsAt = i * everyMs;
    world.sim.after(startsAt, () => void world.users.live(spec, Math.max(0, forMs - startsAt)));
  }
}

function batchWave(world: World, { team, tasks, estimateS }: BorrowingFault & { kind: 'batch wave' }): void {
  const spec = {
    ...world.randomJob(),
    ...ONE_GPU,
    team: TEAMS[team % TEAMS.length]!,
    kind: 'array' as const,
    priority: 'normal' as const,
    tasks,
    spot: true,
    estimateS,
  };
  void world.users.live(spec, null);
}

/** Calls back for each reclaim that is stored from now on. */
function onNewReclaims(world: World, forMs: number, found: (machine: string, job: string) => void): void {
  const known = new Set(world.borrowing.stored.keys());
  const until = world.sim.now + forMs;
  const look = (): void => {
    for (const [key, { record }] of world.borrowing.stored) {
      if (known.has(key)) continue;
      known.add(key);
      found(record.machine, record.job);
    }
    if (world.sim.now < until) world.sim.after(LOOK_MS, look);
  };
  look();
}

function injectMachineFault(world: World, machine: string, fault: BorrowingFault & { kind: 'victims trouble' }): void {
  const { sim, network } = world;
  const worker = world.workers.get(machine);
  if (worker === undefined || sim.random() >= fault.share) return;
  world.recordOccurrence(`victims ${fault.what}`);
  switch (fault.what) {
    case 'hang':
      network.freeze(machine, fault.forMs);
      network.freeze(`${machine}:9000`, fault.forMs);
      return;
    case 'mute':
      network.mute.add(machine);
      sim.after(fault.forMs, () => network.mute.delete(machine));
      return;
    case 'notice':
      worker.notice(fault.forMs / 1000);
      sim.after(fault.forMs, () => world.kill(machine, 'gone'));
      return;
    case 'die':
      world.kill(machine, 'failed');
      return;
  }
}

/** Whether some reclaim is at the step now. */
function isAtStep(world: World, step: ReclaimStep): boolean {
  for (const { record } of world.borrowing.stored.values()) {
    const worker = world.workers.get(record.machine);
    const held = record.victims.map(
      ({ task: taskName, attempt }) => worker?.tasks.get(`${taskName} ${attempt}`)?.state,
    );
    const isGone = (state: string | undefined): boolean => state === undefined || state === 'exited';
    if (step === 'decided' && held.every((state) => state === 'running' || state === 'fetching')) return true;
    if (step === 'stopping' && held.some((state) => state === 'saving' || state === 'exited')) return true;
    if (step === 'freed' && held.every(isGone)) return true;
  }
  return false;
}

function crashAtReclaim(world: World, fault: BorrowingFault & { kind: 'crash at reclaim' }): void {
  const { sim } = world;
  const until = sim.now + fault.forMs;
  let nextAt = sim.now;
  const look = (): void => {
    if (sim.now >= nextAt && isAtStep(world, fault.step)) {
      for (const name of victimsOfCrash(world, fault.who)) {
        world.crash(name);
        sim.after(fault.backMs, () => world.startNode(name));
      }
      world.recordOccurrence(`crash at ${fault.step}`);
      nextAt = sim.now + fault.backMs * 2 + world.workerLeaseMs;
    }
    if (sim.now < until) sim.after(LOOK_MS, look);
  };
  look();
}

function victimsOfCrash(world: World, who: 'leader' | 'owner' | 'both'): Set<string> {
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
