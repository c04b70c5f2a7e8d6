// Plans writes of a partition's membership: the names and addresses of the machines that may run its tasks. The
// membership tells the partition's next owner from which machines it has to get a heartbeat.
import type { ClaimTable, Machine } from '@gingerlock/core';
import { KEYS, membershipRecord } from '@gingerlock/wire';
import type { ControllerContext } from '../controller/controller-context';
import type { Write } from './write';

/** Plans the membership changes of one ownership term. */
export class MembershipWrites {
  /** Names of the machines to remove from the membership. */
  readonly removals = new Set<string>();

  constructor(
    readonly context: ControllerContext,
    readonly partitionId: number,
    readonly claimTable: ClaimTable,
  ) {}

  /** The latest membership that was read: addresses by machine name. The map is updated in place. */
  get #membership(): ReadonlyMap<string, string> {
    return this.context.clusterState.membership(this.partitionId);
  }

  /**
   * Marks machines as members that are in the membership already: their heartbeat came only after the fencing period,
   * or again before their removal. No change of their entries is under way.
   */
  markKnownMembers(): void {
    for (const machine of this.#nonMembers())
      if (this.#membership.has(machine.name)) this.claimTable.setMember(machine.name, true);
  }

  /**
   * Plans the additions. A machine is added before its first grant, so that a new owner knows to wait for its
   * heartbeat.
   */
  planAdditions(): Write[] {
    return this.#nonMembers().map(({ name, addr }) => {
      const key = KEYS.membership(this.partitionId, name);
      return {
        conditions: [{ key, version: this.context.watchCache.version(key) }],
        change: { put: key, value: membershipRecord.write(addr) },
      };
    });
  }

  /** Machines whose heartbeats are answered and that could be granted tasks once they are members. */
  #nonMembers(): Machine[] {
    return [...this.claimTable.machines.values()].filter(
      ({ name, hasCurrentToken, answeredAt, isMember }) =>
        hasCurrentToken && answeredAt !== null && !isMember && !this.removals.has(name),
    );
  }

  /** Drops the removals of machines that have come back or have no entry any more. */
  dropObsoleteRemovals(): void {
    for (const name of this.removals) {
      const machine = this.claimTable.machines.get(name);
      const isBack = machine !== undefined && machine.answeredAt !== null;
      if (isBack || !this.#membership.has(name)) this.removals.delete(name);
    }
  }

  /** Plans the removals. While one is under way, its machine is not a member and so is granted no tasks. */
  planRemovals(): Write[] {
    return [...this.removals].map((name) => {
      const key = KEYS.membership(this.partitionId, name);
      return {
        conditions: [{ key, version: this.context.watchCache.version(key) }],
        change: { remove: key },
        prepare: () => this.claimTable.setMember(name, false),
        // If the entry is still there, a machine that has come back meanwhile has to be a member again to be granted
        // tasks.
        failed: () => this.claimTable.setMember(name, this.#membership.has(name)),
      };
    });
  }
}
