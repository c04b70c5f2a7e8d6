// The messages between controllers. No safety property rests on them alone, but for the confirmations by peers that
// they too lack contact with the key-value store.
import avro from 'avsc';
import {
  avroArray,
  avroBoolean,
  avroBytes,
  avroDouble,
  avroEnum,
  avroInt,
  avroLong,
  avroRecord,
  avroString,
  type FieldValues,
  type ValueOf,
} from './avro-types';

/** Version of the messages' schema. Controllers with different versions don't connect to each other. */
export const PEER_VERSION = 7;

const Resources = avroRecord('Resources', { cpus: avroDouble, gpus: avroDouble, memoryGb: avroDouble });

const MachineStatus = avroRecord('MachineStatus', {
  name: avroString,
  type: avroString,
  zone: avroString,
  spot: avroBoolean,
  agentEpoch: avroLong,
  free: Resources,
  /** By priority. */
  byPriority: avroArray(Resources),
  images: avroArray(avroString),
  takesWork: avroBoolean,
  draining: avroBoolean,
  evictionNotice: avroBoolean,
  isQuarantined: avroBoolean,
  empty: avroBoolean,
  emptyMs: avroDouble,
  silentMs: avroDouble,
});

const Running = avroRecord('Running', { job: avroString, tasks: avroInt });

const HeldTask = avroRecord('HeldTask', {
  task: avroString,
  attempt: avroLong,
  stage: avroEnum('Stage', ['granted', 'fetching', 'running', 'saving']),
  /** How long it has run, in milliseconds. */
  runMs: avroDouble,
  stopping: avroBoolean,
});

const MachineClaims = avroRecord('MachineClaims', { machine: avroString, held: avroArray(HeldTask) });

const MemberReport = avroRecord('MemberReport', {
  rank: avroInt,
  phase: avroEnum('MemberPhase', ['pending', 'held', 'starting', 'running', 'lost']),
  attempt: avroLong,
  /** The number of a reason, as the records of groups store it; -1: none. */
  reason: avroInt,
});

const GroupReport = avroRecord('GroupReport', {
  job: avroString,
  generation: avroLong,
  members: avroArray(MemberReport),
});

/** Who sends something about a partition, and as of which revision of its watch cache. */
const STATUS_HEAD = { owner: avroString, partitionId: avroInt, term: avroLong, revision: avroLong };

const STATUS_CONTENT = { machines: avroArray(MachineStatus), missing: Resources, running: avroArray(Running) };

/**
 * Numbers one of the `fragmentCount` messages that make up content which is too large for a frame; all of one content
 * have the same `sequence`.
 */
const FRAGMENT = { sequence: avroLong, index: avroInt, fragmentCount: avroInt };

const FRAGMENT_HEAD = { partitionId: avroInt, term: avroLong, revision: avroLong, ...FRAGMENT };

/** The fields of each kind of message. The order of the kinds and of their fields is part of the encoding. */
const MESSAGE_FIELDS = {
  /** The first message of each side on a connection. */
  Hello: { version: avroInt, node: avroString },
  PartitionStatus: { ...STATUS_HEAD, ...STATUS_CONTENT },
  /** The key-value store is at this revision at least. */
  RevisionHint: { revision: avroLong },
  /** The sender tells a user that this job is cancelled. A hint to stop its tasks, also without the key-value store. */
  JobCancelled: { job: avroString },
  /** From the leader: which machines get no more work, and which are surely gone. */
  MachineDirectives: { term: avroLong, drain: avroArray(avroString), gone: avroArray(avroString) },
  // The id of a request names the process that asks: a late answer to the process before it matches no request.
  /** Asks whether the peer has no contact with the key-value store either. */
  ConfirmationRequest: { id: avroString, revision: avroLong },
  Confirmation: { id: avroString, confirms: avroBoolean, contactAgeMs: avroDouble },
  /** Asks the previous owner of a partition whether it still is the owner. */
  OwnershipQuery: { id: avroString, partitionId: avroInt, term: avroLong },
  OwnershipAnswer: { id: avroString, owns: avroBoolean },
  /** A worker's heartbeat for the owner of its partition, from a controller that the worker can reach. */
  Relay: { id: avroString, from: avroString, to: avroString, body: avroBytes },
  RelayAnswer: { id: avroString, to: avroString, status: avroInt, body: avroBytes },
  PeerHeartbeat: { contactAgeMs: avroDouble, revision: avroLong },
  /** How many changes wait at the sender for the store's rate limit; a peer with some to spare lends them. */
  BudgetRequest: { id: avroString, writes: avroInt },
  BudgetGrant: { id: avroString, writes: avroInt },
  /** A part of a status that is too large for a frame. */
  PartitionStatusFragment: { ...STATUS_HEAD, ...FRAGMENT, ...STATUS_CONTENT },
  /** The tasks that the machines of a partition hold, for a leader that accepts such lists. */
  ClaimList: { ...FRAGMENT_HEAD, machines: avroArray(MachineClaims) },
  /** The members of replica groups on a partition, for a leader that accepts such reports. */
  GroupReports: { ...FRAGMENT_HEAD, groups: avroArray(GroupReport) },
};

/** An amount of each resource; see `Resources` in core. */
export type PeerResources = ValueOf<typeof Resources>;

/** The status of one machine; see `MachineStatus` in core. */
export type PeerMachineStatus = ValueOf<typeof MachineStatus>;

/** A task that a machine holds; see `HeldTask` in borrowing. */
export type PeerHeldTask = ValueOf<typeof HeldTask>;

/** The tasks that one machine holds. */
export type PeerMachineClaims = ValueOf<typeof MachineClaims>;

/** The members of one replica group on one partition; see `GroupReport` in replica-groups. */
export type PeerGroupReport = ValueOf<typeof GroupReport>;

/** The contents of each kind of message. */
export type PeerMessages = { [K in keyof typeof MESSAGE_FIELDS]: FieldValues<(typeof MESSAGE_FIELDS)[K]> };

/** The status of a partition, or a fragment of it; see `PartitionStatus` in core. */
export type PeerPartitionStatus = PeerMessages['PartitionStatus'];

/** A message of any kind. */
export type PeerMessage = { [K in keyof PeerMessages]: { kind: K } & PeerMessages[K] }[keyof PeerMessages];

function unionSchema(): unknown {
  const defined = new Set<string>();
  return Object.entries(MESSAGE_FIELDS).map(([kind, fields]) => avroRecord(kind, fields).schema(defined));
}

const type = avro.Type.forSchema(unionSchema() as never, { wrapUnions: true });

/** The bytes of a message, for the payload of a frame. */
export function encodePeer(message: PeerMessage): Buffer {
  const { kind, ...fields } = message;
  return type.toBuffer({ [kind]: fields });
}

/** Reads the payload of a frame. Throws an `Error` of avsc if the bytes are no message of this schema. */
export function decodePeer(bytes: Buffer): PeerMessage {
  const value = type.fromBuffer(bytes) as Record<string, object>;
  const kind = Object.keys(value)[0]!;
  return { kind, ...value[kind] } as PeerMessage;
}
