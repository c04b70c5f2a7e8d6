// Code broken on purpose, once for each check of replica groups: see mutants.test.ts.
import type { Versioned } from '@gingerlock/core';
import { LeaderGroups, OwnerGroups } from '@gingerlock/daemon';
import { PartitionGroups } from '@gingerlock/replica-groups';
import { type GroupRecord, groupRecord } from '@gingerlock/wire';
import { type Fault, GROUP_CLASS, type Invariant } from '../../src/index';
import { type Mutant, patch } from './mutant';

/** The rules that `GroupAudit` checks. */
type GroupRule = Extract<
  Invariant,
  | 'group_moved'
  | 'member_unheld'
  | 'member_restarted'
  | 'two_generations'
  | 'withdrawn_runs'
  | 'kept_in_vain'
  | 'group_stuck'
  | 'group_machine_returned'
>;

const dies = (state: 'reserved' | 'serving'): Fault => ({
  kind: 'members trouble',
  state,
  what: 'die',
  machines: 1,
  afterMs: state === 'serving' ? 400 : 0,
  share: 1,
  forMs: 25_000,
});

const GROUPS_ON = { replica_groups: { enabled: true, classes: [GROUP_CLASS] } };

const withGroups = (...faults: readonly Fault[]): Pick<Mutant, 'faults' | 'options'> => ({
  options: {
    gpusMax: 40,
    capacity: 8,
    features: { replica_groups: { enabled: true, classes: [GROUP_CLASS], backoff_reports: 1 } },
  },
  faults: [{ kind: 'groups', count: 4, members: 3, gpus: 1, everyMs: 1500, place: 'any' }, ...faults],
});

/** The machines of members that are to be stopped count as gone at once, though they run on. */
function machinesCountAsGone(): () => void {
  return patch(
    OwnerGroups.prototype,
    'step',
    (original) =>
      function (this: OwnerGroups) {
        const { table } = this.members;
        const machines = new Set(original.call(this).map((task) => task.claim!.machine.name));
        for (const machine of machines) table!.removeMachine(machine, this.context.clock.now());
        return [];
      },
  );
}

/** What an owner reads of groups, with one state in place of another. */
class MisreadGroups extends Map<string, Versioned<GroupRecord>> {
  constructor(readonly stored: ReadonlyMap<string, Versioned<GroupRecord>>) {
    super();
  }

  #misread(entry: Versioned<GroupRecord> | undefined): Versioned<GroupRecord> | undefined {
    if (entry?.record.state !== 'ending') return entry;
    return { ...entry, record: { ...entry.record, state: 'reserved' } };
  }

  override get(job: string): Versioned<GroupRecord> | undefined {
    return this.#misread(this.stored.get(job));
  }

  override *[Symbol.iterator](): MapIterator<[string, Versioned<GroupRecord>]> {
    for (const [job, entry] of this.stored) yield [job, this.#misread(entry)!];
  }
}

export const GROUP_MUTANTS: Record<GroupRule, Mutant> = {
  group_moved: {
    ...withGroups(),
    broken: 'a group that is admitted counts as its next generation',
    apply: () =>
      patch(groupRecord, 'write', (original) => (group) => {
        const generation = group.generation + (group.state === 'admitted' ? 1 : 0);
        return original({ ...group, generation });
      }),
  },
  member_unheld: {
    ...withGroups(),
    broken: 'owners start members as soon as these are reserved',
    apply: () =>
      patch(
        PartitionGroups.prototype,
        'mayStart',
        (original) =>
          function (this: PartitionGroups, task, machine) {
            const record = this.groups.get(task.job.id)?.record;
            const isNext = record?.state === 'reserved' && record.members[task.index]?.machine === machine.name;
            return isNext || original.call(this, task, machine);
          },
      ),
  },
  member_restarted: {
    ...withGroups(
      ...[0, 1, 2, 3, 4, 5, 6, 7, 8, 9].map((machine): Fault => ({
        kind: 'unhealthy machine',
        machine,
        forMs: 20_000,
      })),
    ),
    broken: 'owners start a member that has ended once more, as they do with other tasks',
    apply: () =>
      patch(
        PartitionGroups.prototype,
        'mayStart',
        (original) =>
          function (this: PartitionGroups, task, machine) {
            task.startedGeneration = 0;
            return original.call(this, task, machine);
          },
      ),
  },
  two_generations: {
    ...withGroups(dies('serving')),
    broken: 'machines of members that are stopped count as gone before they are',
    apply: machinesCountAsGone,
  },
  withdrawn_runs: {
    ...withGroups(dies('serving')),
    broken: 'machines of members that are stopped count as gone before they are',
    apply: machinesCountAsGone,
  },
  kept_in_vain: {
    ...withGroups(dies('reserved')),
    broken: 'owners take a group that ends for one that is reserved',
    apply: () =>
      patch(
        OwnerGroups.prototype,
        'attach',
        (original) =>
          function (this: OwnerGroups, table) {
            Object.assign(this.members, { groups: new MisreadGroups(this.members.groups) });
            original.call(this, table);
          },
      ),
  },
  group_stuck: {
    ...withGroups(),
    broken: 'the leader stores no change of state',
    forMs: 160_000,
    apply: () => patch(LeaderGroups.prototype, 'addChanges', () => () => undefined),
  },
  group_machine_returned: {
    // Each member takes a whole machine, and there are few of them.
    options: { capacity: 2, gpusMax: 40, load: 0.01, features: GROUPS_ON },
    faults: [
      { kind: 'groups', count: 1, members: 3, gpus: 4, everyMs: 1, place: 'any' },
      { kind: 'members fail', afterMs: 500, times: 10, forMs: 140_000 },
    ],
    broken: 'the leader keeps no machines for a group in its backoff',
    forMs: 180_000,
    apply: () => patch(LeaderGroups.prototype, 'isBackingOff', () => () => false),
  },
};
