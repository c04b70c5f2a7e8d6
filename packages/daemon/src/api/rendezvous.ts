// Answers members of replica groups: who belongs to the group, and for how long a member may serve without asking again.
import { type ReplicaGroupSettings, serveLeaseMs } from '@gingerlock/replica-groups';
import {
  decodeRendezvousQuestion,
  encodeRendezvousAnswer,
  encodeRendezvousRefusal,
  type GroupRecord,
  hostOf,
  MalformedMessageError,
  type RendezvousQuestion,
} from '@gingerlock/wire';
import { refusal, type Reply } from './reply';
import type { ControllerContext } from '../controller/controller-context';

/** Members whose controller can't answer ask again after so many seconds. */
const RETRY_S = 1;

export class Rendezvous {
  constructor(
    readonly context: ControllerContext,
    readonly settings: ReplicaGroupSettings,
  ) {}

  /**
   * Any controller answers, whoever owns the member's partition. A lease is given only behind a read that began after the question: what
   * it shows held after the question was sent, from which the lease counts. So all leases of a generation have run out one lease after
   * its end was stored.
   */
  async ask(body: Buffer): Promise<Reply> {
    let question: RendezvousQuestion;
    try {
      question = decodeRendezvousQuestion(body);
    } catch (error) {
      return refusal(400, error instanceof MalformedMessageError ? error.message : 'malformed');
    }
    try {
      await this.context.watchCache.linearizableRead();
    } catch {
      return refusal(503, 'state service is out of reach', RETRY_S);
    }
    return this.#answer(question);
  }

  #answer({ job: id, rank, attempt }: RendezvousQuestion): Reply {
    const { clusterState, clusterConfig } = this.context;
    const job = clusterState.jobs.live.get(id);
    const record = job?.isGroup === true ? clusterState.groups.get(id)?.record : undefined;
    const isServing = record?.state === 'serving' && record.members[rank]?.attempt === attempt;
    if (record === undefined || !isServing || job!.cancelled) return this.#refuse(record);
    const members = record.members.map(({ partitionId, machine }) =>
      hostOf(clusterState.addressOf(partitionId, machine) ?? ''),
    );
    if (!isComplete(members)) return refusal(503, 'the address of a member is not known', RETRY_S);
    const { generation } = record;
    const serveMs = serveLeaseMs(this.settings, clusterConfig);
    const answer = { generation, rank, worldSize: members.length, members, serveMs };
    return { status: 200, body: encodeRendezvousAnswer(answer) };
  }

  #refuse(record: GroupRecord | undefined): Reply {
    const stands = { generation: record?.generation ?? 0, state: record?.state ?? null };
    return { status: 409, body: encodeRendezvousRefusal(stands) };
  }
}

function isComplete(hosts: readonly (string | null)[]): hosts is readonly string[] {
  return hosts.every((host) => host !== null);
}
