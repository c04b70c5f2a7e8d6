// Creates the owner of a partition, or the leader, when an ownership term begins, and removes it when the term ends.
import type { Http } from '@gingerlock/clients';
import type { OwnershipTerm } from '@gingerlock/core';
import { LEADERSHIP } from '@gingerlock/wire';
import { Leader } from '../leader/leader';
import { LeaderBorrowing } from '../leader/leader-borrowing';
import { LeaderGroups } from '../leader/leader-groups';
import { PartitionOwner } from '../owner/partition-owner';
import type { OwnershipListener } from '../ownership/ownership-manager';
import type { ClaimLists } from '../peers/claim-lists';
import type { GroupReports } from '../peers/group-reports';
import type { PartitionStatuses } from '../peers/partition-statuses';
import type { ControllerContext } from './controller-context';
import type { OwnedResources } from './owned-resources';

/** The dependencies of the owners and the leader. */
export interface OwnershipHandoverOptions {
  readonly context: ControllerContext;
  readonly owned: OwnedResources;
  readonly statuses: PartitionStatuses;
  readonly claimLists: ClaimLists;
  readonly groupReports: GroupReports;
  readonly http: Http;
}

/** Updates `OwnedResources` when ownership terms begin and end. */
export class OwnershipHandover implements OwnershipListener {
  constructor(readonly options: OwnershipHandoverOptions) {}

  /** See `OwnershipListener`. */
  acquired(ownershipTerm: OwnershipTerm): void {
    const { owned } = this.options;
    if (ownershipTerm.resource === LEADERSHIP) owned.leader = this.#newLeader(ownershipTerm);
    else owned.addOwner(this.#newOwner(ownershipTerm));
  }

  /** See `OwnershipListener`. */
  ended(ownershipTerm: OwnershipTerm): void {
    const { owned } = this.options;
    if (owned.leader?.ownershipTerm === ownershipTerm) {
      owned.leader.stop();
      owned.leader = null;
    }
    const partitionId = Number(ownershipTerm.resource);
    if (owned.ownersById.get(partitionId)?.ownershipTerm === ownershipTerm) owned.removeOwner(partitionId);
  }

  #newOwner(ownershipTerm: OwnershipTerm): PartitionOwner {
    const { context, statuses } = this.options;
    const partitionId = Number(ownershipTerm.resource);
    const machines = statuses.of(partitionId)?.status.machines ?? [];
    const previousStatuses = new Map(machines.map((machine) => [machine.name, machine] as const));
    return new PartitionOwner(context, partitionId, ownershipTerm, previousStatuses);
  }

  #newLeader(ownershipTerm: OwnershipTerm): Leader {
    const { context, statuses, claimLists, groupReports, http } = this.options;
    const { borrowing, replicaGroups } = context.settings.features;
    return new Leader(
      context,
      ownershipTerm,
      () => statuses.all(),
      http,
      borrowing === null ? null : new LeaderBorrowing(context, ownershipTerm, borrowing, claimLists),
      replicaGroups === null ? null : new LeaderGroups(context, replicaGroups, groupReports),
    );
  }
}
