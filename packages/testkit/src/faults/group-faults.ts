// What replica groups have to live through: machines and controllers that end as a group comes to a state, and users who call it off then.
import type { JobSpec, GroupState } from '@gingerlock/wire';
import type { World } from '../simulation/world';

export type GroupFault =
  /** A team submits services of several members, one after the other. */
  | {
      readonly kind: 'groups';
      readonly count: number;
      readonly members: number;
      readonly gpus: number;
      readonly everyMs: number;
      readonly place: 'any' | 'spread' | 'one zone' | 'spot';
    }
  /** Machines of members are in trouble as groups come to a state, so many of each. */
  | {
      readonly kind: 'members trouble';
      readonly state: GroupState;
      readonly what: 'die' | 'hang' | 'mute' | 'notice';
      readonly machines: number;
      readonly afterMs: number;
      readonly share: number;
      readonly forMs: number;
    }
  /** Controllers end as a group comes to a state, again and again. */
  | {
      readonly kind: 'crash at group';
      readonly who: 'leader' | 'owners' | 'all';
      readonly state: GroupState;
      readonly afterMs: number;
      readonly backMs: number;
      readonly forMs: number;
    }
  | { readonly kind: 'groups cancelled'; readonly state: GroupState; readonly share: number; readonly forMs: number };

const KINDS: ReadonlySet<string> = new Set(['groups', 'members trouble', 'crash at group', 'groups cancelled']);

/** The class of the services that these faults submit. */
export const GROUP_CLASS = 'replicated';

/** How often it is looked whether a group has come to a state. */
const LOOK_MS = 20;

export function isGroupFault(fault: { readonly kind: string }): fault is GroupFault {
  return KINDS.has(fault.kind);
}

export function groupFaultMs(fault: GroupFault): number {
  switch (fault.kind) {
    case 'groups':
      return fault.count * fault.everyMs;
    case 'members trouble':
      return fault.forMs * 2 + fault.afterMs;
    case 'crash at group':
      return fault.forMs + fault.afterMs + fault.backMs;
    case 'groups cancelled':
      return fault.forMs;
  }
}

export function injectGroupFault(world: World, fault: GroupFault): void {
  switch (fault.kind) {
    case 'groups':
      return submitGroups(world, fault);
    case 'members trouble':
      return onState(world, fault, (job) => {
        if (world.sim.random() < fault.share)
          world.sim.after(fault.afterMs, () => injectMemberFaults(world, job, fault));
      });
    case 'crash at group':
      return crashAtGroup(world, fault);
    case 'groups cancelled':
      return onState(world, fault, (job) => {
        if (world.sim.random() >= fault.share) return;
        world.recordOccurrence(`cancelled while ${fault.state}`);
        void world.users.cancel(job);
      });
  }
}

const PLACES: Record<(GroupFault & { kind: 'groups' })['place'], Partial<JobSpec>> = {
  any: {},
  spread: { spread: true },
  'one zone': { oneZone: true },
  spot: { spot: true },
};

function submitGroups(world: World, { count, members, gpus, everyMs, place }: GroupFault & { kind: 'groups' }): void {
  for (let i = 0; i < count; i++) {
    const spec: JobSpec = {
      ...world.randomJob(),
      jobClass: GROUP_CLASS,
      kind: 'service',
      priority: 'high',
      tasks: members,
      gpus,
      types: null,
      zone: null,
      oneZone: false,
      spread: false,
      spot: false,
      estimateS: 0,
      ...PLACES[place],
    };
    world.sim.after(i * everyMs, () => void world.users.live(spec, null));
  }
}

/** Calls back each time that a group comes to the state. */
function onState(
  world: World,
  { state, forMs }: { readonly state: GroupState; readonly forMs: number },
  found: (job: string) => void,
): void {
  const known = new Map<string, number>();
  const until = world.sim.now + forMs;
  const look = (): void => {
    for (const [job, { record, version }] of world.groups.seen) {
      if (known.get(job) === version) continue;
      known.set(job, version);
      if (record.state === state) found(job);
    }
    if (world.sim.now < until) world.sim.after(LOOK_MS, look);
  };
  look();
}

function injectMemberFaults(world: World, job: string, fault: GroupFault & { kind: 'members trouble' }): void {
  const record = world.groups.seen.get(job)?.record;
  const machines = [...new Set(record?.members.map(({ machine }) => machine))].slice(0, fault.machines);
  for (const machine of machines) injectMachineFault(world, machine, fault);
  if (machines.length > 0) world.recordOccurrence(`members ${fault.what} while ${fault.state}`);
}

function injectMachineFault(
  world: World,
  machine: string,
  { what, forMs }: GroupFault & { kind: 'members trouble' },
): void {
  const { sim, network } = world;
  const worker = world.workers.get(machine);
  if (worker === undefined) return;
  switch (what) {
    case 'die':
      world.kill(machine, 'failed');
      return;
    case 'hang':
      network.freeze(machine, forMs);
      network.freeze(`${machine}:9000`, forMs);
      return;
    case 'mute':
      network.mute.add(machine);
      sim.after(forMs, () => network.mute.delete(machine));
      return;
    case 'notice':
      worker.notice(forMs / 1000);
      sim.after(forMs, () => world.kill(machine, 'gone'));
      return;
  }
}

function crashAtGroup(world: World, fault: GroupFault & { kind: 'crash at group' }): void {
  const { sim } = world;
  let nextAt = sim.now;
  onState(world, fault, (job) => {
    if (sim.now < nextAt) return;
    nextAt = sim.now + fault.afterMs + fault.backMs + world.workerLeaseMs;
    sim.after(fault.afterMs, () => {
      world.recordOccurrence(`crash while ${fault.state}`);
      for (const name of namesOf(world, job, fault.who)) {
        world.crash(name);
        sim.after(fault.backMs, () => world.startNode(name));
      }
    });
  });
}

function namesOf(world: World, job: string, who: 'leader' | 'owners' | 'all'): readonly string[] {
  if (who === 'all') return world.controllers;
  const leader = world.leader();
  if (who === 'leader') return leader === null ? [] : [leader];
  const partitionIds = new Set(world.groups.seen.get(job)?.record.members.map(({ partitionId }) => partitionId));
  return world.nodes
    .filter(({ controller }) => controller?.owned().some((owner) => partitionIds.has(owner.partitionId)) === true)
    .map(({ name }) => name);
}
