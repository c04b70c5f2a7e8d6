// Answers heartbeats of workers whose partition is owned here.
import { maxAnswerContactAgeMs } from '@gingerlock/core';
import { encodeHeartbeatAnswer, encodeRedirect, type Heartbeat } from '@gingerlock/wire';
import { refusal, type Reply } from '../api/reply';
import type { OwnershipManager } from '../ownership/ownership-manager';
import type { ControllerContext } from './controller-context';
import type { OwnedResources } from './owned-resources';
import type { StoreContact } from './store-contact';

/** Answers heartbeats as the owner while this controller's contact with the store is recent enough. */
export class OwnerHeartbeats {
  constructor(
    readonly context: ControllerContext,
    readonly owned: OwnedResources,
    readonly ownership: OwnershipManager,
    readonly storeContact: StoreContact,
  ) {}

  /** Returns the owner's answer to a heartbeat. The partition must be owned here. */
  answer(partitionId: number, heartbeat: Heartbeat): Reply {
    const { context } = this;
    const owner = this.owned.ownersById.get(partitionId)!;
    const now = context.clock.now();
    // Between the two requests of a full reload, the records may show the next owner before the term is ended here.
    if (!owner.isOwner()) return refusal(503, 'part was taken over');
    // The partition's next owner and users who cancel jobs rely on this controller not answering after this bound.
    if (now > this.storeContact.completeUntil() + maxAnswerContactAgeMs(context.clusterConfig))
      return refusal(503, 'no contact with the state service');
    const outcome = owner.claimTable.handleHeartbeat(heartbeat, now, owner.mayGrant(now));
    switch (outcome.kind) {
      case 'answer':
        return { status: 200, body: encodeHeartbeatAnswer(outcome.fencingToken, outcome.commands) };
      case 'refuse':
        context.log.debug({ machine: heartbeat.machine, why: outcome.why }, 'heartbeat refused');
        return refusal(503, outcome.why);
      case 'superseded':
        context.log.info(
          { partitionId, machine: heartbeat.machine, fencingToken: heartbeat.fencingToken },
          'fencing token superseded',
        );
        this.ownership.superseded(owner.ownershipTerm);
        return { status: 421, body: encodeRedirect(null) };
    }
  }
}
