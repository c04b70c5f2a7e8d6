// One mutant for each check of replica groups; mutants.test.ts runs them.
import type { Versioned } from '@gingerlock/core';
import { LeaderGroups, OwnerGroups } from '@gingerlock/daemon';
import { PartitionGroups } from '@gingerlock/replica-groups';
import { type GroupRecord, groupRecord } from '@gingerlock/wire';
import { type Fault, GROUP_CLASS, type Invariant } from '../../src/index';
import { type Mutant, patch } from './mutant';

/** The invariants that `GroupAudit` checks. */
type GroupInvariant = Extract<
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

const memberDies = (state: 'reserved' | 'serving'): Fault => ({
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

/** Makes owners drop the machines of members that must stop from their claim tables while these machines still run. */
function removeMachinesOfStoppingMembers(): () => void {
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

/** Group records as an owner reads them, with groups that are ending shown as reserved. */
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

export const GROUP_MUTANTS: Record<GroupInvariant, Mutant> = {
  group_moved: {
    ...withGroups(),
    broken: 'admission increments the generation of a group',
    apply: () =>
      patch(groupRecord, 'write', (original) => (group) => {
        const generation = group.generation + (group.state === 'admitted' ? 1 : 0);
        return original({ ...group, generation });
      }),
  },
  member_unheld: {
    ...withGroups(),
    broken: 'owners start members of groups that are reserved but not admitted',
    apply: () =>
      patch(
        PartitionGroups.prototype,
        'mayStart',
        (original) =>
          function (this: PartitionGroups, task, machine) {
            const record = this.groups.get(task.job.id)?.record;
            const isReservedThere =
              record?.state === 'reserved' && record.members[task.index]?.machine === machine.name;
            return isReservedThere || original.call(this, task, machine);
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
    broken: 'owners restart a member that has ended, as they do with other tasks',
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
    ...withGroups(memberDies('serving')),
    broken: 'owners treat machines of members that must stop as gone while they run',
    apply: removeMachinesOfStoppingMembers,
  },
  withdrawn_runs: {
    ...withGroups(memberDies('serving')),
    broken: 'owners treat machines of members that must stop as gone while they run',
    apply: removeMachinesOfStoppingMembers,
  },
  kept_in_vain: {
    ...withGroups(memberDies('reserved')),
    broken: 'owners read groups that are ending as reserved',
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
    broken: 'the leader does not store state changes of groups',
    forMs: 160_000,
    apply: () => patch(LeaderGroups.prototype, 'addChanges', () => () => undefined),
  },
  group_machine_returned: {
    // Each member needs a whole machine, and there are few machines.
    options: { capacity: 2, gpusMax: 40, load: 0.01, features: GROUPS_ON },
    faults: [
      { kind: 'groups', count: 1, members: 3, gpus: 4, everyMs: 1, place: 'any' },
      { kind: 'members fail', afterMs: 500, times: 10, forMs: 140_000 },
    ],
    broken: 'the leader keeps no machines for a group in backoff',
    forMs: 180_000,
    apply: () => patch(LeaderGroups.prototype, 'isBackingOff', () => () => false),
  },
};
