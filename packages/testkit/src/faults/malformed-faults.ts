// Malformed bytes from users, machines and peers, beside honest messages.
import { decodePeer, encodePeer, MAX_FRAME_BYTES } from '@gingerlock/peer';
import { decodeHeartbeat, decodeSubmission, encodeHeartbeat, encodeSubmission, MAX_BODY_BYTES } from '@gingerlock/wire';
import { seeded } from '../simulation/sim';
import type { World } from '../simulation/world';
import { type FaultTable, statedDurationMs } from './fault-table';
import { repeatFor } from './fault-targets';
import { MalformedMessages } from './malformed-messages';

/** Malformed bytes arrive at all controllers, on average `perS` of each kind in a second. */
export interface MalformedFault {
  readonly kind: 'malformed bytes';
  readonly seed: number;
  readonly perS: number;
  readonly forMs: number;
}

/** How long the sender of a malformed request waits for its answer, in milliseconds. */
const ANSWER_MS = 5000;

/** The sender of malformed reports: no machine of the deployment, and of no type that can run tasks. */
const REPORT = {
  machine: 'stranger',
  addr: 'stranger:9000',
  type: 'none',
  zone: 'nowhere',
  spot: false,
  agentEpoch: 1,
  sequenceNumber: 1,
  fencingToken: 0,
  noticeS: null,
  tasks: [],
} as const;

function isMalformed(decode: (bytes: Buffer) => unknown, bytes: Buffer): boolean {
  try {
    decode(bytes);
    return false;
  } catch {
    return true;
  }
}

/** Draws bytes that the decoder refuses. */
function drawMalformed(
  messages: MalformedMessages,
  valid: Buffer,
  decode: (bytes: Buffer) => unknown,
  maxBytes: number,
): Buffer {
  for (;;) {
    const bytes = messages.from(valid, maxBytes);
    if (isMalformed(decode, bytes)) return bytes;
  }
}

function recordAnswer(world: World, status: number): void {
  world.recordOccurrence(status === 400 ? 'malformed request refused' : `malformed request got ${status}`);
}

/** Sends a malformed report over the network, and records whether the answer is 400. */
async function sendReport(world: World, node: string, body: Buffer): Promise<void> {
  const http = world.network.http('stranger', () => true);
  try {
    recordAnswer(world, (await http(node, 'POST', '/checkin', body, ANSWER_MS)).status);
  } catch {
    world.recordOccurrence('malformed request unanswered');
  }
}

/** Submits a malformed job once the controller's host runs, and records whether the answer is 400. */
function submit(world: World, { name, controller }: World['nodes'][number], body: Buffer): void {
  world.network.on(name, () => {
    void controller?.submit(body).then(({ status }) => recordAnswer(world, status));
  });
}

/** Malformed bytes by kind. */
export const MALFORMED_FAULTS: FaultTable<MalformedFault> = {
  'malformed bytes': {
    inject: (world, { seed, perS, forMs }) => {
      const random = seeded(seed);
      const bodies = new MalformedMessages(random, 'messagepack');
      const frames = new MalformedMessages(random, 'avro');
      const submission = encodeSubmission(world.randomJob());
      const report = encodeHeartbeat(REPORT);
      const hint = encodePeer({ kind: 'MachineDirectives', term: 1, drain: ['m-1', 'm-2'], gone: [] });
      const sendOne = (): void => {
        const node = world.nodes[Math.floor(random() * world.nodes.length)]!;
        const asUser = drawMalformed(bodies, submission, decodeSubmission, MAX_BODY_BYTES);
        const asWorker = drawMalformed(bodies, report, decodeHeartbeat, MAX_BODY_BYTES);
        submit(world, node, asUser);
        void sendReport(world, node.name, asWorker);
        node.link?.receiveMalformed(drawMalformed(frames, hint, decodePeer, MAX_FRAME_BYTES));
      };
      repeatFor(world, forMs, sendOne, () => (random() * 2000) / perS);
    },
    durationMs: statedDurationMs,
  },
};
