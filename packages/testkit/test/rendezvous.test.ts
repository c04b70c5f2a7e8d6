// Rendezvous of replica group members at the controllers: which answer each member gets, and that no lease of a
// generation outlives it.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  decodeRendezvousAnswer,
  decodeRendezvousRequest,
  decodeRendezvousRefusal,
  encode,
  encodeRendezvousAnswer,
  encodeRendezvousRequest,
  canonicalIpOf,
  MalformedMessageError,
  parseKey,
  taskName,
} from '@gingerlock/wire';
import fc from 'fast-check';
import { type Fault, GROUP_CLASS, runScenario, World, type WorldOptions } from '../src/index';

const FEATURES = { replica_groups: { enabled: true, classes: [GROUP_CLASS], backoff_reports: 1 } };
const GROUPS: Fault = { kind: 'groups', count: 2, members: 3, gpus: 2, everyMs: 1000, place: 'any' };

function worldOf(overrides: Partial<WorldOptions> = {}): World {
  const world = new World({
    seed: 3,
    machines: 6,
    capacity: 8,
    gpusMax: 40,
    load: 0.1,
    features: FEATURES,
    ...overrides,
  });
  Object.assign(world, { addressOf: (machine: string) => `10.1.0.${Number(machine.replace(/\D/g, ''))}:9000` });
  return world;
}

type Outcome = { readonly status: number; readonly body: Buffer | null };

/** Sends a member's question to one controller, and lets simulated time pass until it answers. */
async function ask(world: World, node: number, body: Buffer): Promise<Outcome> {
  let outcome: Outcome | null = null;
  void world.nodes[node]!.controller!.rendezvous!.ask(body).then((reply) => {
    outcome = reply;
  });
  for (let i = 0; outcome === null && i < 200; i++) await world.sim.run(world.sim.now + 50);
  assert.ok(outcome !== null, 'no answer');
  return outcome;
}

async function servingWorld(): Promise<{ world: World; job: string; attempts: number[] }> {
  const world = worldOf();
  await runScenario(world, { seed: 3, forMs: 30_000, faults: [{ at: 4000, fault: GROUPS }] });
  const [job, { record }] = [...world.groups.storedRecords][0]!;
  assert.equal(record.state, 'serving');
  return { world, job, attempts: record.members.map(({ attempt }) => attempt!) };
}

test('every controller gives all members of a serving group the same answer', async () => {
  const { world, job, attempts } = await servingWorld();
  for (const [rank, attempt] of attempts.entries()) {
    for (const node of [0, 1, 2]) {
      const request = encodeRendezvousRequest({ task: taskName(job, rank), attempt });
      const { status, body } = await ask(world, node, request);
      assert.equal(status, 200);
      const answer = decodeRendezvousAnswer(body!);
      const { members } = world.groups.storedRecords.get(job)!.record;
      const hosts = members.map(({ machine }) => canonicalIpOf(world.workers.get(machine)!.addr));
      assert.deepEqual(answer, { generation: 1, rank, worldSize: 3, members: hosts, serveMs: world.workerLeaseMs / 2 });
    }
  }
});

test('a question with another attempt, member or group gets 409 with the state of the group, and changes nothing', async () => {
  const { world, job, attempts } = await servingWorld();
  const { changes } = world.state;
  const asked: [string, number, object][] = [
    [taskName(job, 0), attempts[0]! + 1, { generation: 1, state: 'serving' }],
    [taskName(job, 0), attempts[1]!, { generation: 1, state: 'serving' }],
    [taskName(job, 7), attempts[0]!, { generation: 1, state: 'serving' }],
    [taskName('j-999999', 0), attempts[0]!, { generation: 0, state: null }],
  ];
  const before = [...world.groups.transitionCounts];
  for (const [task, attempt, refusal] of asked) {
    const { status, body } = await ask(world, 1, encodeRendezvousRequest({ task, attempt }));
    assert.equal(status, 409);
    assert.deepEqual(decodeRendezvousRefusal(body!), refusal);
  }
  assert.deepEqual([...world.groups.transitionCounts], before);
  assert.ok(world.state.changes - changes < 5, 'questions write nothing');
});

test('no lease is granted without the state service', async () => {
  const { world, job, attempts } = await servingWorld();
  world.state.outage = true;
  const { status } = await ask(world, 0, encodeRendezvousRequest({ task: taskName(job, 0), attempt: attempts[0]! }));
  assert.equal(status, 503);
});

test('malformed and truncated bodies get 400, and decoders reject random bytes only as malformed messages', async () => {
  const { world, job, attempts } = await servingWorld();
  const question = encodeRendezvousRequest({ task: taskName(job, 0), attempt: attempts[0]! });
  for (let length = 0; length < question.length; length++) {
    assert.equal((await ask(world, 0, question.subarray(0, length))).status, 400, `truncated to ${length} bytes`);
  }
  for (const value of [
    null,
    [],
    5,
    {},
    { parcel: 'j-1', try: 1 },
    { parcel: `${job}/0`, try: -1 },
    { parcel: `${job}/0`, try: 0.5 },
  ])
    assert.equal((await ask(world, 0, encode(value))).status, 400, JSON.stringify(value));
  const decoders = [decodeRendezvousRequest, decodeRendezvousAnswer, decodeRendezvousRefusal];
  fc.assert(
    fc.property(
      fc.oneof(
        fc.uint8Array({ maxLength: 200 }),
        fc.anything().map((value) => encodeOrEmpty(value)),
      ),
      (bytes) => {
        for (const decoder of decoders) {
          try {
            decoder(bytes);
          } catch (error) {
            assert.ok(error instanceof MalformedMessageError, String(error));
          }
        }
      },
    ),
    { seed: 391, numRuns: 2000 },
  );
});

function encodeOrEmpty(value: unknown): Uint8Array {
  try {
    return encode(value);
  } catch {
    return new Uint8Array(0);
  }
}

test('an answer is unchanged after encoding and decoding', () => {
  const answer = fc
    .record({
      generation: fc.integer({ min: 1, max: 2 ** 48 }),
      members: fc.array(fc.ipV4(), { minLength: 1, maxLength: 9 }),
      serveMs: fc.nat(),
    })
    .map(({ members, ...rest }) => ({ ...rest, members, worldSize: members.length, rank: members.length - 1 }));
  fc.assert(
    fc.property(answer, (sent) => {
      assert.deepEqual(decodeRendezvousAnswer(encodeRendezvousAnswer(sent)), sent);
    }),
    { seed: 391 },
  );
});

test('a host is written in its canonical form, and is null if the address has no valid IP address and port', () => {
  const cases: [string, string | null][] = [
    ['10.1.0.232:9000', '10.1.0.232'],
    ['[2001:DB8:0:0::1]:9000', '2001:db8::1'],
    ['[::ffff:10.1.0.5]:80', '10.1.0.5'],
    ['m-000231:9000', null],
    ['10.1.0.5', null],
    ['10.1.5:80', null],
    ['010.1.0.5:80', null],
    ['10.1.0.256:80', null],
    ['10.1.0.5:port', null],
    ['', null],
  ];
  for (const [address, host] of cases) assert.equal(canonicalIpOf(address), host, address);
  fc.assert(fc.property(fc.ipV4(), (ip) => assert.equal(canonicalIpOf(`${ip}:1`), ip)));
  fc.assert(
    fc.property(fc.ipV6(), (ip) => {
      const host = canonicalIpOf(`[${ip}]:1`);
      assert.ok(host !== null);
      assert.equal(
        canonicalIpOf(host.includes(':') ? `[${host}]:2` : `${host}:2`),
        host,
        'the canonical form does not change',
      );
    }),
  );
});

interface Lease {
  readonly job: string;
  readonly generation: number;
  readonly until: number;
}

/**
 * Plays a day on which all running members keep asking random controllers. Returns the number of leases granted, and
 * the leases that were still held when a later generation was reserved.
 */
async function playLeases(
  seed: number,
  faults: readonly { at: number; fault: Fault }[],
): Promise<{ leaseCount: number; outlived: Lease[] }> {
  const world = worldOf({ seed, controllers: 5, capacity: 12 });
  const leases: Lease[] = [];
  const outlived: Lease[] = [];
  const { onStored } = world.state;
  world.state.onStored = (key) => {
    onStored(key);
    const parsed = parseKey(key);
    const record = parsed.kind === 'group' ? world.groups.storedRecords.get(parsed.job)?.record : undefined;
    if (parsed.kind !== 'group' || record?.state !== 'reserved') return;
    outlived.push(
      ...leases.filter(
        ({ job, generation, until }) => job === parsed.job && generation < record.generation && until > world.sim.now,
      ),
    );
  };
  const askAll = (): void => {
    for (const { tasks } of world.workers.values()) {
      for (const { task, attempt, state } of tasks.values()) {
        const node = world.nodes[Math.floor(world.sim.random() * world.nodes.length)]!;
        const job = task.split('/')[0]!;
        if (state !== 'running' || !world.isGroup(job)) continue;
        const sentAt = world.sim.now;
        void node.controller?.rendezvous?.ask(encodeRendezvousRequest({ task, attempt })).then(({ status, body }) => {
          if (status !== 200) return;
          const { generation, serveMs } = decodeRendezvousAnswer(body!);
          leases.push({ job, generation, until: sentAt + serveMs });
        });
      }
    }
    world.sim.after(150, askAll);
  };
  askAll();
  await runScenario(world, { seed, forMs: 110_000, faults: [{ at: 4000, fault: GROUPS }, ...faults] });
  assert.deepEqual(world.violations, []);
  return { leaseCount: leases.length, outlived };
}

test('no lease of a generation is held when the next one is reserved, whichever component fails', async () => {
  const dies: Fault = {
    kind: 'members trouble',
    state: 'serving',
    what: 'die',
    machines: 1,
    afterMs: 300,
    share: 1,
    forMs: 30_000,
  };
  const mute: Fault = { ...dies, what: 'mute', forMs: 9000 };
  const days: Fault[][] = [
    [dies],
    [dies, { kind: 'late writes', share: 0.5, atOnce: true, forMs: 30_000 }],
    [mute, { kind: 'crash at group', who: 'leader', state: 'ending', afterMs: 20, backMs: 2000, forMs: 30_000 }],
    [dies, { kind: 'slow state service', ms: 300, forMs: 30_000 }],
    [dies, { kind: 'slow reads', node: 1, ms: 900, forMs: 30_000 }],
  ];
  for (const [i, faults] of days.entries()) {
    const { leaseCount, outlived } = await playLeases(
      20 + i,
      faults.map((fault) => ({ at: 20_000, fault })),
    );
    assert.ok(leaseCount > 100, `${leaseCount} leases`);
    assert.deepEqual(outlived, [], `day ${i}`);
  }
});
