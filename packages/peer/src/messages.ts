// What controllers tell each other. Nothing that safety rests on lives here alone, but for the confirmations by peers that
// they too lack the state service.
import avro from 'avsc';

/** Raised with every change of the schema; controllers of different versions do not talk. */
export const PEER_VERSION = 7;

const record = (name: string, fields: Record<string, unknown>): object => ({
  type: 'record',
  name,
  fields: Object.entries(fields).map(([field, type]) => ({ name: field, type })),
});

const resources = record('Resources', { cpus: 'double', gpus: 'double', memoryGb: 'double' });

/** How a member of a replica group is. */
const MEMBER_PHASES = ['pending', 'held', 'starting', 'running', 'lost'] as const;

/** How far a task is on its machine. */
const STAGES = ['granted', 'fetching', 'running', 'saving'] as const;

/** What both a summary and a piece of one say; the named records are defined where they stand first. */
const STATUS_HEAD = { owner: 'string', partitionId: 'int', term: 'long', revision: 'long' };

const schema = [
  record('Hello', { version: 'int', node: 'string' }),
  record('PartitionStatus', {
    ...STATUS_HEAD,
    machines: {
      type: 'array',
      items: record('MachineStatus', {
        name: 'string',
        type: 'string',
        zone: 'string',
        spot: 'boolean',
        agentEpoch: 'long',
        free: resources,
        byPriority: { type: 'array', items: 'Resources' },
        images: { type: 'array', items: 'string' },
        takesWork: 'boolean',
        draining: 'boolean',
        evictionNotice: 'boolean',
        isQuarantined: 'boolean',
        empty: 'boolean',
        emptyMs: 'double',
        silentMs: 'double',
      }),
    },
    missing: 'Resources',
    running: { type: 'array', items: record('Running', { job: 'string', tasks: 'int' }) },
  }),
  /** The state service stands at this revision at least. */
  record('RevisionHint', { revision: 'long' }),
  /** The sender tells a user that this job is cancelled. A hint to stop its tasks, also without the state service. */
  record('JobCancelled', { job: 'string' }),
  /** From the leader: which machines get no more work, and which are surely gone. */
  record('MachineDirectives', {
    term: 'long',
    drain: { type: 'array', items: 'string' },
    gone: { type: 'array', items: 'string' },
  }),
  // Ids name the process that asks: an answer to its predecessor, that was long under way, must match nothing here.
  record('ConfirmationRequest', { id: 'string', revision: 'long' }),
  record('Confirmation', { id: 'string', confirms: 'boolean', contactAgeMs: 'double' }),
  /** Asks the owner before of a part whether it still is; see `Holding.gaveUp`. */
  record('OwnershipQuery', { id: 'string', partitionId: 'int', term: 'long' }),
  record('OwnershipAnswer', { id: 'string', owns: 'boolean' }),
  /** A worker's report for the owner of a part, from a controller that the worker can reach. */
  record('Relay', { id: 'string', from: 'string', to: 'string', body: 'bytes' }),
  record('RelayAnswer', { id: 'string', to: 'string', status: 'int', body: 'bytes' }),
  record('PeerHeartbeat', { contactAgeMs: 'double', revision: 'long' }),
  /** So many changes wait at the sender for room in the state service's limit; a peer with room to spare lends some. */
  record('BudgetRequest', { id: 'string', writes: 'int' }),
  record('BudgetGrant', { id: 'string', writes: 'int' }),
  /**
   * One of the `pieces` messages that a summary takes which is too large for a frame. All of one summary have the same `sequence`. Older
   * versions end the connection over it, as they did over the frame that was too large.
   */
  record('PartitionStatusFragment', {
    ...STATUS_HEAD,
    sequence: 'long',
    index: 'int',
    fragmentCount: 'int',
    machines: { type: 'array', items: 'MachineStatus' },
    missing: 'Resources',
    running: { type: 'array', items: 'Running' },
  }),
  /** What the machines of a partition hold, for a leader that takes such lists; a piece of it, as above. */
  record('ClaimList', {
    partitionId: 'int',
    term: 'long',
    revision: 'long',
    sequence: 'long',
    index: 'int',
    fragmentCount: 'int',
    machines: {
      type: 'array',
      items: record('MachineClaims', {
        machine: 'string',
        held: {
          type: 'array',
          items: record('HeldTask', {
            task: 'string',
            attempt: 'long',
            stage: { type: 'enum', name: 'Stage', symbols: [...STAGES] },
            runMs: 'double',
            stopping: 'boolean',
          }),
        },
      }),
    },
  }),
  /** How the members of replica groups on a partition are, for a leader that takes such reports; a piece of it, as above. */
  record('GroupReports', {
    partitionId: 'int',
    term: 'long',
    revision: 'long',
    sequence: 'long',
    index: 'int',
    fragmentCount: 'int',
    groups: {
      type: 'array',
      items: record('GroupReport', {
        job: 'string',
        generation: 'long',
        members: {
          type: 'array',
          items: record('MemberReport', {
            rank: 'int',
            phase: { type: 'enum', name: 'MemberPhase', symbols: [...MEMBER_PHASES] },
            attempt: 'long',
            /** A number of a reason, as the records of groups have it; -1: none. */
            reason: 'int',
          }),
        },
      }),
    },
  }),
];

export interface PeerResources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

export interface PeerMachineStatus {
  name: string;
  type: string;
  zone: string;
  spot: boolean;
  agentEpoch: number;
  free: PeerResources;
  byPriority: PeerResources[];
  images: string[];
  takesWork: boolean;
  draining: boolean;
  evictionNotice: boolean;
  isQuarantined: boolean;
  empty: boolean;
  emptyMs: number;
  silentMs: number;
}

export interface PeerHeldTask {
  task: string;
  attempt: number;
  stage: (typeof STAGES)[number];
  runMs: number;
  stopping: boolean;
}

export interface PeerMachineClaims {
  machine: string;
  held: PeerHeldTask[];
}

export interface PeerGroupReport {
  job: string;
  generation: number;
  members: { rank: number; phase: (typeof MEMBER_PHASES)[number]; attempt: number; reason: number }[];
}

/** How a partition stands, or a part of that. */
export interface PeerPartitionStatus {
  owner: string;
  partitionId: number;
  term: number;
  revision: number;
  machines: PeerMachineStatus[];
  missing: PeerResources;
  running: { job: string; tasks: number }[];
}

export interface PeerMessages {
  Hello: { version: number; node: string };
  PartitionStatus: PeerPartitionStatus;
  RevisionHint: { revision: number };
  JobCancelled: { job: string };
  MachineDirectives: { term: number; drain: string[]; gone: string[] };
  ConfirmationRequest: { id: string; revision: number };
  Confirmation: { id: string; confirms: boolean; contactAgeMs: number };
  OwnershipQuery: { id: string; partitionId: number; term: number };
  OwnershipAnswer: { id: string; owns: boolean };
  Relay: { id: string; from: string; to: string; body: Buffer };
  RelayAnswer: { id: string; to: string; status: number; body: Buffer };
  PeerHeartbeat: { contactAgeMs: number; revision: number };
  BudgetRequest: { id: string; writes: number };
  BudgetGrant: { id: string; writes: number };
  PartitionStatusFragment: PeerPartitionStatus & { sequence: number; index: number; fragmentCount: number };
  ClaimList: {
    partitionId: number;
    term: number;
    revision: number;
    sequence: number;
    index: number;
    fragmentCount: number;
    machines: PeerMachineClaims[];
  };
  GroupReports: {
    partitionId: number;
    term: number;
    revision: number;
    sequence: number;
    index: number;
    fragmentCount: number;
    groups: PeerGroupReport[];
  };
}

export type PeerMessage = { [K in keyof PeerMessages]: { kind: K } & PeerMessages[K] }[keyof PeerMessages];

const type = avro.Type.forSchema(schema as never, { wrapUnions: true });

export function encodePeer(message: PeerMessage): Buffer {
  const { kind, ...fields } = message;
  return type.toBuffer({ [kind]: fields });
}

/** Throws if the bytes are no message of this schema. */
export function decodePeer(bytes: Buffer): PeerMessage {
  const value = type.fromBuffer(bytes) as Record<string, object>;
  const kind = Object.keys(value)[0]!;
  return { kind, ...value[kind] } as PeerMessage;
}
