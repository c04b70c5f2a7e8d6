// Answers members of replica groups with the addresses of all members and a serve lease: the time for which the member
// may serve without asking again.
import { type ReplicaGroupSettings, serveLeaseMs } from '@gingerlock/replica-groups';
import {
  decodeRendezvousRequest,
  encodeRendezvousAnswer,
  encodeRendezvousRefusal,
  type GroupRecord,
  canonicalIpOf,
  type RendezvousRequest,
} from '@gingerlock/wire';
import type { ControllerContext } from '../controller/controller-context';
import { malformed, refusal, type Reply } from './reply';

/** Value of `retry-after` for members that can't be answered now, in seconds. */
const RETRY_AFTER_S = 1;

/** Grants serve leases to the members of a group's current generation. */
export class Rendezvous {
  constructor(
    readonly context: ControllerContext,
    readonly settings: ReplicaGroupSettings,
  ) {}

  /**
   * Replies 200 with the group and a serve lease, 409 if the asking attempt does not belong to the serving generation,
   * 400 if the body can't be decoded, or 503.
   *
   * Any controller answers, whether or not it owns the member's partition. A lease is granted only after a read that
   * began after the request arrived, and the member counts its lease from when it sent the request. So all serve leases
   * of a generation have expired one lease length after its end was stored.
   */
  async ask(body: Buffer): Promise<Reply> {
    let request: RendezvousRequest;
    try {
      request = decodeRendezvousRequest(body);
    } catch (error) {
      return malformed(error);
    }
    try {
      await this.context.watchCache.linearizableRead();
    } catch {
      return refusal(503, 'state service is out of reach', RETRY_AFTER_S);
    }
    return this.#answer(request);
  }

  #answer({ job: id, rank, attempt }: RendezvousRequest): Reply {
    const { clusterState, clusterConfig } = this.context;
    const job = clusterState.jobs.live.get(id);
    const record = job?.isGroup === true ? clusterState.groups.get(id)?.record : undefined;
    const isServing = record?.state === 'serving' && record.members[rank]?.attempt === attempt;
    if (record === undefined || !isServing || job!.isCancelled) return this.#notServing(record);
    const hosts = record.members.map(({ partitionId, machine }) =>
      canonicalIpOf(clusterState.addressOf(partitionId, machine) ?? ''),
    );
    if (!areAllKnown(hosts)) return refusal(503, 'the address of a member is not known', RETRY_AFTER_S);
    const { generation } = record;
    const serveMs = serveLeaseMs(this.settings, clusterConfig);
    const answer = { generation, rank, worldSize: hosts.length, members: hosts, serveMs };
    return { status: 200, body: encodeRendezvousAnswer(answer) };
  }

  #notServing(record: GroupRecord | undefined): Reply {
    const current = { generation: record?.generation ?? 0, state: record?.state ?? null };
    return { status: 409, body: encodeRendezvousRefusal(current) };
  }
}

function areAllKnown(hosts: readonly (string | null)[]): hosts is readonly string[] {
  return hosts.every((host) => host !== null);
}
