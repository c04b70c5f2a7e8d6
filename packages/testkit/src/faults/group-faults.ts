// Faults of replica groups: as a group enters a state, machines or controllers fail, or users cancel the group.
import { type JobSpec, type GroupState, taskName } from '@gingerlock/wire';
import type { World } from '../simulation/world';
import { type FaultTargets, pollFor } from './fault-targets';
import { type FaultOfKind, type FaultTable, statedDurationMs } from './fault-table';
import { type MachineIncident, injectIncident } from './machine-faults';

/** A fault of replica groups. */
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
  /** As groups enter the state, an incident affects up to `machines` machines of members in a share of the cases. */
  | {
      readonly kind: 'members trouble';
      readonly state: GroupState;
      readonly what: MachineIncident;
      readonly machines: number;
      readonly afterMs: number;
      readonly share: number;
      readonly forMs: number;
    }
  /**
   * The process of one member fails `afterMs` after its group starts to serve, up to `times` times for each group. Its
   * duration is zero, as failures of user code must not suspend the audits of progress.
   */
  | { readonly kind: 'members fail'; readonly afterMs: number; readonly times: number; readonly forMs: number }
  /** Controllers repeatedly crash as a group enters the state. */
  | {
      readonly kind: 'crash at group';
      readonly who: 'leader' | 'owners' | 'all';
      readonly state: GroupState;
      readonly afterMs: number;
      readonly backMs: number;
      readonly forMs: number;
    }
  | { readonly kind: 'groups cancelled'; readonly state: GroupState; readonly share: number; readonly forMs: number };

/** The job class of the services that these faults submit. */
export const GROUP_CLASS = 'replicated';

/** Faults of replica groups by kind. */
export const GROUP_FAULTS: FaultTable<GroupFault> = {
  groups: { inject: submitGroups, durationMs: ({ count, everyMs }) => count * everyMs },
  'members trouble': {
    inject: (world, fault) =>
      onEnteredState(world, fault, (job) => {
        if (world.sim.random() < fault.share)
          world.sim.after(fault.afterMs, () => injectIncidentOnMembers(world, job, fault));
      }),
    durationMs: ({ forMs, afterMs }) => forMs * 2 + afterMs,
  },
  'members fail': { inject: failMembers, durationMs: () => 0 },
  'crash at group': { inject: crashAtGroup, durationMs: ({ forMs, afterMs, backMs }) => forMs + afterMs + backMs },
  'groups cancelled': {
    inject: (world, fault) =>
      onEnteredState(world, fault, (job) => {
        if (world.sim.random() >= fault.share) return;
        world.recordOccurrence(`cancelled while ${fault.state}`);
        void world.users.cancel(job);
      }),
    durationMs: statedDurationMs,
  },
};

const PLACEMENTS: Record<FaultOfKind<GroupFault, 'groups'>['place'], Partial<JobSpec>> = {
  any: {},
  spread: { spread: true },
  'one zone': { oneZone: true },
  spot: { spot: true },
};

function submitGroups(world: World, { count, members, gpus, everyMs, place }: FaultOfKind<GroupFault, 'groups'>): void {
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
      ...PLACEMENTS[place],
    };
    world.sim.after(i * everyMs, () => void world.users.submitAndFollow(spec, null));
  }
}

/** Calls `onGroup` each time that a group enters the state within `forMs` from now. */
function onEnteredState(
  world: World,
  { state, forMs }: { readonly state: GroupState; readonly forMs: number },
  onGroup: (job: string) => void,
): void {
  const knownVersions = new Map<string, number>();
  pollFor(world, forMs, () => {
    for (const [job, { record, version }] of world.groups.storedRecords) {
      if (knownVersions.get(job) === version) continue;
      knownVersions.set(job, version);
      if (record.state === state) onGroup(job);
    }
  });
}

function injectIncidentOnMembers(
  world: World,
  job: string,
  { what, state, machines: machineCount, forMs }: FaultOfKind<GroupFault, 'members trouble'>,
): void {
  const record = world.groups.storedRecords.get(job)?.record;
  const machines = [...new Set(record?.members.map(({ machine }) => machine))].slice(0, machineCount);
  for (const machine of machines) if (world.workers.has(machine)) injectIncident(world, machine, what, forMs);
  if (machines.length > 0) world.recordOccurrence(`members ${what} while ${state}`);
}

function failMembers(world: World, fault: FaultOfKind<GroupFault, 'members fail'>): void {
  const timesByJob = new Map<string, number>();
  onEnteredState(world, { state: 'serving', forMs: fault.forMs }, (job) => {
    const times = timesByJob.get(job) ?? 0;
    if (times >= fault.times) return;
    timesByJob.set(job, times + 1);
    world.sim.after(fault.afterMs, () => failMember(world, taskName(job, times % world.job(job)!.tasks)));
  });
}

function failMember(world: World, name: string): void {
  for (const worker of world.workers.values()) {
    const attempts = [...worker.tasks.values()].filter(({ task }) => task === name).map(({ attempt }) => attempt);
    for (const attempt of attempts) worker.fail(name, attempt);
  }
  world.recordOccurrence('member failed');
}

function crashAtGroup(world: World, fault: FaultOfKind<GroupFault, 'crash at group'>, targets: FaultTargets): void {
  const { sim } = world;
  let nextAt = sim.now;
  onEnteredState(world, fault, (job) => {
    if (sim.now < nextAt) return;
    nextAt = sim.now + fault.afterMs + fault.backMs + world.workerLeaseMs;
    sim.after(fault.afterMs, () => {
      world.recordOccurrence(`crash while ${fault.state}`);
      for (const name of controllersOfGroup(world, job, fault.who)) targets.crashAndRestart(name, fault.backMs);
    });
  });
}

/** The names of the leader, of the owners of partitions with members of the group, or of all controllers. */
function controllersOfGroup(world: World, job: string, who: 'leader' | 'owners' | 'all'): readonly string[] {
  if (who === 'all') return world.controllers;
  const leader = world.leader();
  if (who === 'leader') return leader === null ? [] : [leader];
  const partitionIds = new Set(
    world.groups.storedRecords.get(job)?.record.members.map(({ partitionId }) => partitionId),
  );
  return world.nodes
    .filter(({ controller }) => controller?.owned().some((owner) => partitionIds.has(owner.partitionId)) === true)
    .map(({ name }) => name);
}
