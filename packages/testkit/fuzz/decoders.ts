// Every decoder of bytes from outside, with valid messages of the sizes that PROTOCOL allows.
import { readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { MAX_ANSWER_BYTES, MAX_LIST_BYTES, readAnswer } from '@gingerlock/clients';
import { loadSettings } from '@gingerlock/daemon';
import { decodePeer, encodePeer, MAX_FRAME_BYTES } from '@gingerlock/peer';
import {
  decode,
  decodeHeartbeat,
  decodeRendezvousRequest,
  decodeSubmission,
  encode,
  encodeHeartbeat,
  encodeRendezvousRequest,
  eventsMap,
  eventsOf,
  type Heartbeat,
  jobSpecOf,
  leaseGrantedMap,
  leaseIdOf,
  listMap,
  listOf,
  machineListMap,
  machineListOf,
  MAX_BODY_BYTES,
  readMachineTypes,
  rentedMap,
  rentedNamesOf,
  revisionOf,
  submissionMap,
  transactionResponseMap,
} from '@gingerlock/wire';
import type { ByteFormat } from '../src/faults/malformed-messages';
import { PEER_MESSAGES } from './peer-messages';

/** A decoder of bytes from outside. */
export interface Decoder {
  readonly name: string;
  readonly format: ByteFormat;
  readonly valid: readonly Buffer[];
  /** Messages that are malformed as they are; more are derived from them, as from the valid ones. */
  readonly malformed?: readonly Buffer[];
  /** The largest message that reaches the decoder, in bytes. */
  readonly maxBytes: number;
  /** Memory that decoding takes whatever the message, in bytes; default: little. */
  readonly fixedBytes?: number;
  /** Decodes the bytes. Throws a `GingerlockError` if they are malformed. */
  readonly decode: (bytes: Buffer) => unknown;
}

const REPORT: Heartbeat = {
  machine: 'm-000231',
  addr: '10.1.0.232:9000',
  type: 'g8',
  zone: 'a',
  spot: true,
  agentEpoch: 1,
  sequenceNumber: 88,
  fencingToken: 2 ** 41,
  noticeS: 12.5,
  tasks: [],
};

function reportOf(tasks: number): Buffer {
  const states = ['fetching', 'running', 'saving'] as const;
  return encodeHeartbeat({
    ...REPORT,
    tasks: Array.from({ length: tasks }, (_, index) => ({
      task: `j-000412/${index}`,
      attempt: 2 ** 33 + index,
      state: states[index % states.length]!,
      cause: null,
      saved: false,
    })),
  });
}

function submissionOf(awaits: number): Buffer {
  const ids = Array.from({ length: awaits }, (_, index) => `j-${index}`);
  return encode({
    ...submissionMap(
      jobSpecOf({
        name_id: 'j-000412',
        lane: 'train',
        crew: 'vision',
        shape: 'sweep',
        urgency: 'high',
        parcels: 16,
        cores: 8.5,
        accelerators: 1,
        memory_gb: 64,
        crate: 'img-07',
        image_gb: 6.25,
        breeds: ['g8'],
        same_place: true,
        scatter: false,
        borrowed: true,
        guess_s: 240,
        stash_every_s: 30,
        stash_s: 4,
        due_s: 900,
        awaits: ids,
      }),
    ),
    later_field: { of: ['a later version', { with: [1, 2, 3] }] },
  });
}

const VALUE = {
  spec: {
    name: 'j-000412',
    ranges: [
      [0, 12],
      [14, 99],
    ],
    zone: 'amman-north',
  },
  accepted: 1796512576363,
};

const TYPE = {
  sku: 'g8',
  cores: 96,
  accelerators: 8,
  memory_gb: 768,
  cache_gb: 200,
  fetch_gb_per_s: 1,
  price: 12,
  low_price: 4.5,
  ready_s: 45,
  yards: ['a', 'b'],
};

function machinesOf(count: number): unknown {
  const machines = Array.from({ length: count }, (_, index) => ({
    name: `m-${index}`,
    addr: `10.1.0.1:${index}`,
    type: 'g8',
    zone: 'a',
    spot: false,
    state: 'running' as const,
    ageS: 61.5,
  }));
  return machineListMap(machines, false);
}

/** A decoder of the answers of a service, through the function that the clients use. */
function answers(
  name: string,
  maxBytes: number,
  read: (value: unknown) => unknown,
  valid: readonly unknown[],
): Decoder {
  return {
    name,
    format: 'messagepack',
    valid: valid.map((value) => encode(value)),
    maxBytes,
    decode: (body) => readAnswer(name, { status: 200, body }, read),
  };
}

const items = (count: number): { key: string; value: unknown; version: number }[] =>
  Array.from({ length: count }, (_, index) => ({ key: `g/j/j-${index}`, value: VALUE, version: index + 1 }));

const SERVICE_DECODERS: readonly Decoder[] = [
  answers('state list', MAX_LIST_BYTES, listOf, [listMap(items(1), false, 3), listMap(items(1000), true, 9)]),
  answers('state watch', MAX_LIST_BYTES, eventsOf, [eventsMap(items(2), 3), eventsMap(items(3000), 9)]),
  answers('state transaction', MAX_ANSWER_BYTES, revisionOf, [transactionResponseMap(2 ** 40, ['a/b'])]),
  answers('state lease', MAX_ANSWER_BYTES, leaseIdOf, [leaseGrantedMap(7)]),
  answers('cloud list', MAX_LIST_BYTES, machineListOf, [machinesOf(1), machinesOf(500)]),
  answers('cloud types', MAX_LIST_BYTES, readMachineTypes, [{ breeds: [TYPE] }, { breeds: Array(400).fill(TYPE) }]),
  answers('cloud rental', MAX_ANSWER_BYTES, rentedNamesOf, [rentedMap(['m-1', 'm-2'])]),
];

const REQUEST_DECODERS: readonly Decoder[] = [
  {
    name: 'submission',
    format: 'messagepack',
    valid: [submissionOf(0), submissionOf(3), submissionOf(6000)],
    maxBytes: MAX_BODY_BYTES,
    decode: decodeSubmission,
  },
  {
    name: 'report',
    format: 'messagepack',
    valid: [reportOf(0), reportOf(3), reportOf(1000)],
    maxBytes: MAX_BODY_BYTES,
    decode: (bytes) => {
      const report = decodeHeartbeat(bytes);
      const counts = [report.agentEpoch, report.sequenceNumber, report.fencingToken];
      for (const count of [...counts, ...report.tasks.map(({ attempt }) => attempt)])
        if (!Number.isSafeInteger(count)) throw new Error(`the report has the count ${count}`);
      return report;
    },
  },
  {
    name: 'rendezvous request',
    format: 'messagepack',
    valid: [encodeRendezvousRequest({ task: 'j-000412/3', attempt: 2 ** 40 })],
    maxBytes: MAX_BODY_BYTES,
    decode: decodeRendezvousRequest,
  },
];

const PEER_DECODER: Decoder = {
  name: 'peer message',
  format: 'avro',
  valid: PEER_MESSAGES.map(encodePeer),
  maxBytes: MAX_FRAME_BYTES,
  decode: decodePeer,
};

/** A third of a controller's heap, which holds nothing else when settings are read, in bytes. */
const LOADING_BYTES = (64 * 1024 * 1024) / 3;

/** Settings files in all three forms; the bytes are the operators' file, whose form has references. */
function settingsDecoder(platform: unknown): Decoder {
  const file = join(tmpdir(), `gingerlock-fuzz-${process.pid}.yaml`);
  const platformFile = join(tmpdir(), `gingerlock-fuzz-${process.pid}.json`);
  writeFileSync(platformFile, JSON.stringify(platform));
  const references = ['a: &a [x,x,x,x,x,x,x,x,x]'];
  for (let level = 0; level < 9; level++) {
    const [name, inner] = ['abcdefghij'[level + 1]!, 'abcdefghij'[level]!];
    references.push(`${name}: &${name} [${Array(9).fill(`*${inner}`).join(',')}]`);
  }
  return {
    name: 'settings',
    format: 'messagepack',
    valid: [Buffer.from('headroom: 0.2\nmax_spot_machines: 3\n')],
    malformed: [Buffer.from(references.join('\n')), readFileSync('deploy/features.yaml')],
    maxBytes: MAX_BODY_BYTES,
    fixedBytes: LOADING_BYTES,
    decode: (bytes) => {
      writeFileSync(file, bytes);
      return loadSettings({ platform: platformFile, operators: file, features: null });
    },
  };
}

/** Values that no decoder knows, read as they are. */
const UNTYPED_DECODER: Decoder = {
  name: 'any message',
  format: 'messagepack',
  valid: [encode(VALUE), encode([VALUE, [VALUE]])],
  maxBytes: MAX_LIST_BYTES,
  decode,
};

/** Returns all decoders. `platform`: a valid settings file of the platform. */
export function allDecoders(platform: unknown): Decoder[] {
  return [...REQUEST_DECODERS, ...SERVICE_DECODERS, UNTYPED_DECODER, PEER_DECODER, settingsDecoder(platform)];
}
