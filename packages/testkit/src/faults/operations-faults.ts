// Troubles that operators met and the protocol names only in passing: jobs submitted with a mistake, controllers that say nothing or
// stand still, machines that come late or never, a cloud list that is old, and guests who submit more than can be taken.
import type { JobSpec } from '@gingerlock/wire';
import type { World } from '../simulation/world';

export type OperationsFault =
  /** Arrays whose tasks fail wherever they run, until their users cancel them. */
  | {
      readonly kind: 'broken jobs';
      readonly count: number;
      readonly tasks: number;
      readonly everyMs: number;
      readonly cancelAfterMs: number;
    }
  /** A controller stands still while its clocks run on; on waking it takes what has come, or runs its timers, first. */
  | {
      readonly kind: 'freeze';
      readonly node: number;
      readonly forMs: number;
      readonly wakes: 'input first' | 'timers first';
    }
  /** A controller reaches nobody and nobody reaches it, users included; it runs on. */
  | {
      readonly kind: 'silent controller';
      readonly node: number;
      readonly how: 'hold' | 'lose' | 'refuse';
      readonly forMs: number;
    }
  /** Machines that are rented now come up late, or never. */
  | {
      readonly kind: 'boot trouble';
      readonly never: number;
      readonly factor: number;
      readonly forMs: number;
    }
  /** The times of day of all controllers jump from one end of what is allowed to the other, again and again. */
  | { readonly kind: 'clocks jump'; readonly everyMs: number; readonly forMs: number }
  /** The cloud lists its machines as they were so long ago. */
  | { readonly kind: 'stale list'; readonly ms: number; readonly forMs: number }
  /** A team without a guarantee submits one-task jobs, an array of many tasks, or long work. */
  | {
      readonly kind: 'guests';
      readonly what: 'flood' | 'huge array' | 'long work';
      readonly perS: number;
      readonly forMs: number;
    };

const OPERATIONS_KINDS: ReadonlySet<string> = new Set([
  'broken jobs',
  'freeze',
  'silent controller',
  'boot trouble',
  'stale list',
  'guests',
  'clocks jump',
]);

export function isOperationsFault(fault: { readonly kind: string }): fault is OperationsFault {
  return OPERATIONS_KINDS.has(fault.kind);
}

/** How long the trouble lasts, with what it leaves under way. */
export function operationsFaultMs(fault: OperationsFault): number {
  switch (fault.kind) {
    case 'broken jobs':
      return fault.count * fault.everyMs + fault.cancelAfterMs;
    case 'stale list':
      return fault.forMs + fault.ms;
    default:
      return fault.forMs;
  }
}

export function injectOperationsFault(world: World, fault: OperationsFault, node: (index: number) => string): void {
  const { sim, network } = world;
  switch (fault.kind) {
    case 'broken jobs':
      for (let i = 0; i < fault.count; i++) sim.after(i * fault.everyMs, () => submitBroken(world, fault));
      return;
    case 'freeze':
      network.freeze(node(fault.node), fault.forMs, fault.wakes);
      return;
    case 'silent controller': {
      const name = node(fault.node);
      const isIt = (host: string): boolean => host === name || host === `peer:${name}`;
      const heal = network.wall((from, to) => isIt(from) || isIt(to), fault.how);
      world.silent.add(name);
      sim.after(fault.forMs, () => {
        heal();
        world.silent.delete(name);
      });
      return;
    }
    case 'boot trouble':
      world.cloud.bootFault = { never: fault.never, factor: fault.factor };
      sim.after(fault.forMs, () => {
        world.cloud.bootFault = null;
      });
      return;
    case 'clocks jump':
      for (let at = 0; at < fault.forMs; at += fault.everyMs) sim.after(at, () => world.jumpClocks());
      return;
    case 'stale list':
      world.cloud.listAgeMs = fault.ms;
      sim.after(fault.forMs, () => {
        world.cloud.listAgeMs = 0;
      });
      return;
    case 'guests':
      submitAsGuests(world, fault);
      return;
  }
}

/** So small that many of them run at once whatever else does. */
const SMALL = { cpus: 0.25, gpus: 0, memoryGb: 0.5 };

const ARRAY = { kind: 'array', spread: false, oneZone: false, zone: null, spot: true } as const;

function submitBroken(world: World, { tasks, cancelAfterMs }: OperationsFault & { kind: 'broken jobs' }): void {
  const spec: JobSpec = { ...world.randomJob(), ...ARRAY, ...SMALL, tasks, priority: 'normal' };
  world.brokenJobs.set(spec.id, { starts: 0, firstStartAt: null });
  void world.users.live(spec, cancelAfterMs);
}

/** As many tasks as the largest array of guests has here: enough for several pages of a small state service. */
const HUGE_TASKS = 1500;

function submitAsGuests(world: World, { what, perS, forMs }: OperationsFault & { kind: 'guests' }): void {
  const { sim } = world;
  const guest = { ...ARRAY, ...SMALL, team: world.guestTeam, priority: 'low' } as const;
  const submit = (over: Partial<JobSpec>): void => {
    void world.users.live({ ...world.randomJob(), ...guest, ...over }, null);
  };
  if (what === 'huge array') submit({ tasks: HUGE_TASKS, estimateS: 0.5 });
  if (what !== 'flood') {
    if (what === 'long work') submit({ tasks: 20, estimateS: 40 });
    return;
  }
  const until = sim.now + forMs;
  const next = (): void => {
    if (sim.now > until) return;
    submit({ tasks: 1, estimateS: 1 });
    sim.after((1000 / perS) * (0.5 + sim.random()), next);
  };
  next();
}
