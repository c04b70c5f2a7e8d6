import assert from 'node:assert/strict';
import { once } from 'node:events';
import { type AddressInfo, createServer, type Socket } from 'node:net';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  MalformedFrameError,
  decodePeer,
  encodePeer,
  frame,
  frames,
  MAX_FRAME_BYTES,
  MAX_QUEUED_BYTES,
  PEER_VERSION,
  type PeerMessage,
  TcpLink,
} from '../src/index';

const resources = { cpus: 1.5, gpus: 2, memoryGb: 0 };
const messages: PeerMessage[] = [
  { kind: 'Hello', version: 1, node: 'a' },
  { kind: 'RevisionHint', revision: 2 ** 40 },
  { kind: 'JobCancelled', job: 'j-000007' },
  { kind: 'MachineDirectives', term: 3, drain: ['m-1'], gone: [] },
  { kind: 'ConfirmationRequest', id: 'p-1', revision: 9 },
  { kind: 'Confirmation', id: 'p-1', confirms: true, contactAgeMs: 12.5 },
  { kind: 'OwnershipQuery', id: 'p-2', partitionId: 3, term: 9 },
  { kind: 'OwnershipAnswer', id: 'p-2', owns: false },
  { kind: 'Relay', id: 'p-4', from: 'a', to: 'b', body: Buffer.from([1, 2, 3]) },
  { kind: 'RelayAnswer', id: 'p-4', to: 'a', status: 200, body: Buffer.alloc(0) },
  { kind: 'PeerHeartbeat', contactAgeMs: 1e9, revision: 0 },
  { kind: 'BudgetRequest', id: 'p-5', writes: 12 },
  { kind: 'BudgetGrant', id: 'p-5', writes: 3 },
  {
    kind: 'PartitionStatus',
    owner: 'node-1',
    partitionId: 1,
    term: 5,
    revision: 6,
    machines: [
      {
        name: 'm',
        type: 't',
        zone: 'z',
        spot: true,
        agentEpoch: 3,
        free: resources,
        byPriority: [resources, resources],
        images: ['i'],
        takesWork: true,
        draining: false,
        evictionNotice: false,
        isQuarantined: false,
        empty: true,
        emptyMs: 1,
        silentMs: 0,
      },
    ],
    missing: { cpus: 1, gpus: 0.5, memoryGb: 2 },
    running: [{ job: 'j-1', tasks: 3 }],
  },
  {
    kind: 'PartitionStatusFragment',
    owner: 'node-1',
    partitionId: 1,
    term: 5,
    revision: 6,
    sequence: 7,
    index: 1,
    fragmentCount: 2,
    machines: [],
    missing: resources,
    running: [{ job: 'j-2', tasks: 1 }],
  },
  {
    kind: 'ClaimList',
    partitionId: 1,
    term: 5,
    revision: 6,
    sequence: 7,
    index: 0,
    fragmentCount: 1,
    machines: [
      { machine: 'm', held: [{ task: 'j-1/0', attempt: 2 ** 40, stage: 'saving', runMs: 0.5, stopping: true }] },
    ],
  },
];

async function* chunksOf(bytes: Buffer, cuts: readonly number[]): AsyncGenerator<Buffer> {
  let from = 0;
  for (const cut of [...cuts].map((c) => c % (bytes.length + 1)).sort((a, b) => a - b)) {
    yield bytes.subarray(from, cut);
    from = cut;
  }
  yield bytes.subarray(from);
}

test('messages are decoded unchanged however their stream is split into chunks', async () => {
  const stream = Buffer.concat(messages.map((m) => frame(encodePeer(m))));
  await fc.assert(
    fc.asyncProperty(fc.array(fc.nat(), { maxLength: 30 }), async (cuts) => {
      const got: PeerMessage[] = [];
      for await (const payload of frames(chunksOf(stream, cuts))) got.push(decodePeer(payload));
      // avsc decodes records into its own classes, so only the contents are compared.
      assert.equal(JSON.stringify(got), JSON.stringify(messages));
    }),
    { seed: 391, numRuns: 100 },
  );
});

test('the status of 900 machines in 5 partitions takes less than half of MAX_QUEUED_BYTES', () => {
  const machine = (messages.find((m) => m.kind === 'PartitionStatus') as PeerMessage & { kind: 'PartitionStatus' })
    .machines[0]!;
  let bytes = 0;
  for (let partitionId = 0; partitionId < 5; partitionId++) {
    const machines = Array.from({ length: 180 }, (_, i) => ({
      ...machine,
      name: `m-${String(partitionId * 180 + i).padStart(6, '0')}`,
      type: 'machine-type-of-48',
      zone: 'a-zone-with-a-name',
      byPriority: [resources, resources, resources, resources],
      images: Array.from({ length: 18 }, (_, k) => `image-${String(k).padStart(4, '0')}`),
    }));
    const running = Array.from({ length: 300 }, (_, i) => ({ job: `j-${String(i).padStart(6, '0')}`, tasks: 3 }));
    const missing = resources;
    bytes += frame(
      encodePeer({
        kind: 'PartitionStatus',
        owner: 'node-1',
        partitionId,
        term: 9,
        revision: 1e6,
        machines,
        missing,
        running,
      }),
    ).length;
  }
  assert.ok(bytes > 900 * 100, `${bytes} bytes`);
  assert.ok(bytes * 2 < MAX_QUEUED_BYTES, `${bytes} bytes`);
});

test('an incomplete frame is dropped, and a frame that declares too large a payload throws at once', async () => {
  const stream = frame(encodePeer(messages[1]!));
  const got = [];
  for await (const payload of frames(chunksOf(stream.subarray(0, stream.length - 1), []))) got.push(payload);
  assert.equal(got.length, 0);
  const huge = Buffer.alloc(8);
  huge.writeUInt32BE(MAX_FRAME_BYTES + 1, 0);
  await assert.rejects(async () => {
    for await (const payload of frames(chunksOf(huge, []))) got.push(payload);
  }, MalformedFrameError);
});

test('random bytes are rejected with an Error or decode to a known kind of message', () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 64 }), (bytes) => {
      let message: PeerMessage;
      try {
        message = decodePeer(Buffer.from(bytes));
      } catch (error) {
        assert.ok(error instanceof Error);
        return;
      }
      // Some random bytes are a valid message.
      assert.ok(messages.some((m) => m.kind === message.kind));
    }),
    { seed: 391, numRuns: 2000 },
  );
});

// While data is sent, the operating system keeps a connection to an unresponsive host open for minutes. A controller
// that came back stayed unreachable for that long.
test('a connection on which nothing arrives is closed and reopened, even while messages are sent on it', async () => {
  const silenceMs = 80;
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    // The server sends its Hello and nothing after it.
    socket.write(frame(encodePeer({ kind: 'Hello', version: PEER_VERSION, node: 'b' })));
    socket.resume();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const peers = [{ node: 'b', address: `127.0.0.1:${port}` }];
  const link = new TcpLink({ node: 'a', listen: '127.0.0.1:0', peers, silenceMs, log: () => undefined });
  await link.start();
  const sending = setInterval(() => link.send('b', { kind: 'RevisionHint', revision: 1 }), silenceMs / 10);
  try {
    for (let i = 0; i < 100 && sockets.length < 2; i++)
      await new Promise((resolve) => setTimeout(resolve, silenceMs / 4));
    assert.ok(sockets.length >= 2, 'the silent connection was not replaced');
  } finally {
    clearInterval(sending);
    link.stop();
    server.close();
    for (const socket of sockets) socket.destroy();
  }
});

test('a batch of any size is sent completely, and the message after it is not dropped', async () => {
  const listening = createServer(() => undefined).listen(0, '127.0.0.1');
  await once(listening, 'listening');
  const { port } = listening.address() as AddressInfo;
  listening.close();
  await once(listening, 'close');
  const open = (node: string, peer: string, own: number, other: number): TcpLink =>
    new TcpLink({
      node,
      listen: `127.0.0.1:${own}`,
      peers: [{ node: peer, address: `127.0.0.1:${other}` }],
      silenceMs: 2000,
      log: () => undefined,
    });
  const receiver = open('b', 'a', port, 1);
  const sender = open('a', 'b', 0, port);
  const got: PeerMessage[] = [];
  await receiver.start();
  await sender.start();
  try {
    while (!sender.isAlive('b') || !receiver.isAlive('a')) await new Promise((resolve) => setTimeout(resolve, 10));
    receiver.onMessage = (_from, message) => got.push(message);
    const body = Buffer.alloc(MAX_FRAME_BYTES / 2);
    // Four times MAX_QUEUED_BYTES.
    const batch = Array.from({ length: 8 }, (_, i): PeerMessage => ({
      kind: 'Relay',
      id: `r-${i}`,
      from: 'a',
      to: 'b',
      body,
    }));
    assert.equal(sender.sendBatch('b', batch), true);
    assert.equal(sender.send('b', { kind: 'RevisionHint', revision: 9 }), true);
    while (got.at(-1)?.kind !== 'RevisionHint') await new Promise((resolve) => setTimeout(resolve, 10));
    assert.deepEqual(
      got.flatMap((message) => (message.kind === 'Relay' ? [message.id] : [])),
      batch.map((message) => (message.kind === 'Relay' ? message.id : '')),
    );
  } finally {
    sender.stop();
    receiver.stop();
  }
});
