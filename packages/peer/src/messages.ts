// The messages between controllers. The only messages that a safety property depends on are the peers' confirmations
// that they can't reach the key-value store either.
import avro from 'avsc';
import { AvroScanner } from './avro-scanner';
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

/** The largest integer that the encoding takes. */
const MAX_INTEGER = Number.MAX_SAFE_INTEGER - 1;

/** Returns a count that a worker reported as messages to peers can carry it: no honest worker counts further. */
export function reportedCount(count: number): number {
  return Math.min(count, MAX_INTEGER);
}

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
  /** By priority, the highest first. */
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
  /** How long the task has run, in milliseconds. */
  runMs: avroDouble,
  stopping: avroBoolean,
});

const MachineClaims = avroRecord('MachineClaims', { machine: avroString, held: avroArray(HeldTask) });

const MemberReport = avroRecord('MemberReport', {
  rank: avroInt,
  phase: avroEnum('MemberPhase', ['pending', 'held', 'starting', 'running', 'lost']),
  attempt: avroLong,
  /** Index of the reason in `GROUP_REASONS`; -1: none. */
  reason: avroInt,
});

const GroupReport = avroRecord('GroupReport', {
  job: avroString,
  generation: avroLong,
  members: avroArray(MemberReport),
});

const MachineReportSpace = avroRecord('MachineReportSpace', {
  machine: avroString,
  free: avroInt,
  /** By priority, the highest first. */
  byPriority: avroArray(avroInt),
});

/** The partition's owner, which sends the message, and the revision of its watch cache. */
const STATUS_HEAD = { owner: avroString, partitionId: avroInt, term: avroLong, revision: avroLong };

const STATUS_CONTENT = { machines: avroArray(MachineStatus), missing: Resources, running: avroArray(Running) };

/**
 * Identifies one of the `fragmentCount` messages into which content too large for one frame is split. All fragments of
 * the same content have the same `sequence`.
 */
const FRAGMENT = { sequence: avroLong, index: avroInt, fragmentCount: avroInt };

const FRAGMENT_HEAD = { partitionId: avroInt, term: avroLong, revision: avroLong, ...FRAGMENT };

/** The fields of each kind of message. The order of the kinds and of their fields is part of the encoding. */
const MESSAGE_FIELDS = {
  /** The first message of each side on a connection. */
  Hello: { version: avroInt, node: avroString },
  PartitionStatus: { ...STATUS_HEAD, ...STATUS_CONTENT },
  /** Tells that the key-value store has reached at least this revision. */
  RevisionHint: { revision: avroLong },
  /** The sender tells a user that this job is cancelled. Lets peers stop its tasks even without the key-value store. */
  JobCancelled: { job: avroString },
  /** Sent by the leader: the machines to drain, and the machines that are certainly gone. */
  MachineDirectives: { term: avroLong, drain: avroArray(avroString), gone: avroArray(avroString) },
  // Request ids identify the requesting process, so a late answer to a previous process matches no request.
  /** Asks the peer to confirm that it can't reach the key-value store either and knows no later revision. */
  ConfirmationRequest: { id: avroString, revision: avroLong },
  Confirmation: { id: avroString, confirms: avroBoolean, contactAgeMs: avroDouble },
  /** Asks the previous owner of a partition whether it still owns it. */
  OwnershipQuery: { id: avroString, partitionId: avroInt, term: avroLong },
  OwnershipAnswer: { id: avroString, owns: avroBoolean },
  /** Forwards a worker's heartbeat to the owner of its partition from a controller that the worker can reach. */
  Relay: { id: avroString, from: avroString, to: avroString, body: avroBytes },
  RelayAnswer: { id: avroString, to: avroString, status: avroInt, body: avroBytes },
  PeerHeartbeat: { contactAgeMs: avroDouble, revision: avroLong },
  /** Asks for `writes` of the peer's unused share of the store's rate limit; the sender has that many queued. */
  BudgetRequest: { id: avroString, writes: avroInt },
  BudgetGrant: { id: avroString, writes: avroInt },
  /** A fragment of a status that is too large for one frame. */
  PartitionStatusFragment: { ...STATUS_HEAD, ...FRAGMENT, ...STATUS_CONTENT },
  /** The tasks that the machines of a partition hold. Sent only to a leader that accepts claim lists. */
  ClaimList: { ...FRAGMENT_HEAD, machines: avroArray(MachineClaims) },
  /** The members of replica groups on a partition. Sent only to a leader that accepts group reports. */
  GroupReports: { ...FRAGMENT_HEAD, groups: avroArray(GroupReport) },
  /** The report space of the machines of a partition. Sent only to controllers that accept it, before their status. */
  ReportSpace: { ...FRAGMENT_HEAD, machines: avroArray(MachineReportSpace) },
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

/** The report space of one machine: bytes that are free, and that are used by work of each priority. */
export type PeerReportSpace = ValueOf<typeof MachineReportSpace>;

/** The fields of each kind of message. */
export type PeerMessages = { [K in keyof typeof MESSAGE_FIELDS]: FieldValues<(typeof MESSAGE_FIELDS)[K]> };

/** The status of a partition, or a fragment of it; see `PartitionStatus` in core. */
export type PeerPartitionStatus = PeerMessages['PartitionStatus'];

/** A message of any kind. */
export type PeerMessage = { [K in keyof PeerMessages]: { kind: K } & PeerMessages[K] }[keyof PeerMessages];

/** The types of the messages; a message begins with the index of its own. */
const MESSAGE_TYPES = Object.entries(MESSAGE_FIELDS).map(([kind, fields]) => avroRecord(kind, fields));

function unionSchema(): unknown {
  const defined = new Set<string>();
  return MESSAGE_TYPES.map((messageType) => messageType.schema(defined));
}

const type = avro.Type.forSchema(unionSchema() as never, { wrapUnions: true });

/** Encodes a message as the payload of a frame. */
export function encodePeer(message: PeerMessage): Buffer {
  const { kind, ...fields } = message;
  return type.toBuffer({ [kind]: fields });
}

/**
 * Decodes the payload of a frame.
 * @throws MalformedPayloadError if the bytes do not match the schema, or if their values would take too much memory
 */
export function decodePeer(bytes: Buffer): PeerMessage {
  const scanner = new AvroScanner(bytes);
  MESSAGE_TYPES[scanner.choice(MESSAGE_TYPES.length)]!.scan(scanner);
  scanner.finish();
  const value = type.fromBuffer(bytes) as Record<string, object>;
  const kind = Object.keys(value)[0]!;
  return { kind, ...value[kind] } as PeerMessage;
}
