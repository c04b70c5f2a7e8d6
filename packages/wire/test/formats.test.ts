import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import * as wire from '../src/index';

const plain = { noNullPrototype: true } as const;

const count = fc.oneof(fc.integer({ min: 0, max: 5000 }), fc.integer({ min: 2 ** 31, max: Number.MAX_SAFE_INTEGER }));
const amount = fc.double({ min: 0, max: 1e6, noNaN: true });
const word = fc.stringMatching(/^[a-z][a-z0-9-]{0,20}$/);
const jobId = fc.integer({ min: 0, max: 999_999 }).map((n) => `j-${String(n).padStart(6, '0')}`);
const params = { seed: 391, numRuns: 300 };

const anySpec: fc.Arbitrary<wire.JobSpec> = fc.record(
  {
    id: jobId,
    jobClass: word,
    team: word,
    kind: fc.constantFrom('array', 'service'),
    priority: fc.constantFrom(...wire.PRIORITIES),
    tasks: fc.integer({ min: 1, max: wire.MAX_TASKS }),
    cpus: amount,
    gpus: amount,
    memoryGb: amount,
    image: word,
    imageGb: amount,
    types: fc.option(fc.array(word, { maxLength: 4 })),
    zone: fc.option(word),
    oneZone: fc.boolean(),
    spread: fc.boolean(),
    spot: fc.boolean(),
    estimateS: amount,
    checkpointS: amount,
    saveS: amount,
    deadlineS: fc.option(amount),
    awaits: fc.uniqueArray(jobId, { maxLength: 5 }),
  },
  plain,
);

const anyHeartbeat: fc.Arbitrary<wire.Heartbeat> = fc.record(
  {
    machine: word,
    addr: word,
    type: word,
    zone: word,
    spot: fc.boolean(),
    agentEpoch: count,
    sequenceNumber: count,
    fencingToken: count,
    noticeS: fc.option(amount),
    tasks: fc.array(
      fc
        .record(
          {
            task: fc.tuple(jobId, fc.integer({ min: 0, max: 99_999 })).map(([id, i]) => wire.taskName(id, i)),
            attempt: count,
            state: fc.constantFrom('fetching', 'running', 'saving', 'exited'),
            cause: fc.constantFrom('done', 'stopped', 'error', 'no_room', 'busy', 'unknown'),
            saved: fc.boolean(),
          },
          plain,
        )
        .map((t): wire.ReportedTask => {
          const exited = t.state === 'exited';
          return {
            ...t,
            cause: exited ? t.cause : null,
            saved: exited && t.cause === 'stopped' && t.saved,
          };
        }),
      { maxLength: 5 },
    ),
  },
  plain,
);

test('a submission is unchanged by a round trip through the wire format and the stored format', () => {
  fc.assert(
    fc.property(anySpec, (s) => {
      assert.deepEqual(wire.decodeSubmission(wire.encodeSubmission(s)), s);
      const record: wire.JobRecord = {
        final: null,
        spec: s,
        acceptedAt: 1.5e12,
        cancelled: s.spot,
        isCrashLooping: s.spread,
        assignedRanges: [{ from: 0, count: 2, partitionId: 1, zone: s.zone, term: 77 }],
      };
      assert.deepEqual(wire.jobRecord.read(wire.decode(wire.encode(wire.jobRecord.write(record)))), record);
    }),
    params,
  );
});

test('heartbeats and commands are unchanged by a round trip, also with counts beyond 32 bits', () => {
  fc.assert(
    fc.property(anyHeartbeat, (heartbeat) =>
      assert.deepEqual(wire.decodeHeartbeat(wire.encodeHeartbeat(heartbeat)), heartbeat),
    ),
    params,
  );
  fc.assert(
    fc.property(count, count, (fencingToken, attempt) => {
      const commands: wire.WorkerCommand[] = [
        { op: 'start', task: 'j-1/0', attempt },
        { op: 'stop', task: 'j-1/1', attempt, graceS: 2.5 },
        { op: 'forget', task: 'j-1/2', attempt },
      ];
      assert.deepEqual(wire.decodeCommands(wire.encodeHeartbeatAnswer(fencingToken, commands)), {
        fencingToken,
        agentEpoch: null,
        commands,
      });
      const direct = wire.decodeCommands(wire.encodeDirectCommands(fencingToken, attempt, commands));
      assert.deepEqual(direct, { fencingToken, agentEpoch: attempt, commands });
    }),
    params,
  );
});

test('a count beyond 32 bits is an integer on the wire, not a float', () => {
  // MessagePack type bytes: 0xcf and 0xd3 are 64-bit integers, 0xcb is a double.
  const bytes = wire.encode(wire.integer(2 ** 40));
  assert.ok(bytes[0] === 0xcf || bytes[0] === 0xd3, `type byte ${bytes[0]}`);
  assert.equal(wire.decode(bytes), 2 ** 40);
});

test('invalid submissions, heartbeats and commands throw a MalformedMessageError and no other error', () => {
  const decoders = [wire.decodeSubmission, wire.decodeHeartbeat, wire.decodeCommands];
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      for (const decode of decoders) assert.throws(() => decode(bytes), wire.MalformedMessageError);
    }),
    params,
  );
  for (const value of [null, 1, 'x', [], [1], true]) {
    for (const decode of decoders) assert.throws(() => decode(wire.encode(value)), wire.MalformedMessageError);
  }
});

test('the error about a submission with a missing or invalid field names that field', () => {
  const valid = wire.submissionMap({
    id: 'j-000001',
    jobClass: 'c',
    team: 't',
    kind: 'array',
    priority: 'normal',
    tasks: 3,
    cpus: 1,
    gpus: 0,
    memoryGb: 1,
    image: 'i',
    imageGb: 1,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: true,
    estimateS: 1,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    awaits: [],
  });
  const nullable = ['breeds', 'yard', 'due_s'];
  for (const field of Object.keys(valid)) {
    const rest = Object.fromEntries(Object.entries(valid).filter(([name]) => name !== field));
    if (nullable.includes(field)) {
      assert.doesNotThrow(() => wire.jobSpecOf(rest), field);
    } else {
      assert.throws(
        () => wire.jobSpecOf(rest),
        (e: wire.MalformedMessageError) => e.path === field,
        field,
      );
      assert.throws(
        () => wire.jobSpecOf({ ...valid, [field]: null }),
        (e: wire.MalformedMessageError) => e.path === field,
        field,
      );
    }
    assert.throws(
      () => wire.jobSpecOf({ ...valid, [field]: { no: 1 } }),
      (e: wire.MalformedMessageError) => e.path.startsWith(field),
      field,
    );
  }
  const outOfRange: [string, unknown][] = [
    ['parcels', 0],
    ['parcels', 100_001],
    ['parcels', 1.5],
    ['cores', -1],
    ['cores', Infinity],
    ['name_id', 'j-'],
    ['name_id', 'x-000001'],
    ['shape', 'group'],
    ['urgency', 'urgent'],
  ];
  for (const [field, value] of outOfRange) {
    assert.throws(
      () => wire.jobSpecOf({ ...valid, [field]: value }),
      (e: wire.MalformedMessageError) => e.path === field,
      field,
    );
  }
  assert.doesNotThrow(() => wire.jobSpecOf({ ...valid, unheard_of: 1 }));
});

test('a heartbeat with an unknown task state is rejected', () => {
  const body = wire.encode({
    rig: 'm',
    addr: '',
    breed: '',
    yard: '',
    borrowed: false,
    shift: 1,
    tally: 1,
    baton: 0,
    parcels: [{ parcel: 'j-1/0', try: 1, status: 'dreaming' }],
  });
  assert.throws(() => wire.decodeHeartbeat(body), /parcels\.0\.status/);
});

test('lists, events and transactions are unchanged by a round trip through both sides of the store API', () => {
  fc.assert(
    fc.property(
      fc.array(fc.record({ key: word, value: fc.record({ a: count }, plain), version: count }, plain), {
        maxLength: 5,
      }),
      count,
      (items, revision) => {
        const roundTrip = (map: unknown): unknown => wire.decode(wire.encode(map));
        assert.deepEqual(wire.listOf(roundTrip(wire.listMap(items, true, revision))), { items, more: true, revision });
        const events = items.map((i, n) => (n % 2 === 0 ? i : { ...i, value: undefined }));
        assert.deepEqual(wire.eventsOf(roundTrip(wire.eventsMap(events, revision))), { events, revision });
        const conditions = items.map((i) => ({ key: i.key, version: i.version }));
        const changes = items.map((i, n) =>
          n % 2 === 0 ? { put: i.key, value: i.value, lease: i.version } : { remove: i.key },
        );
        assert.deepEqual(wire.txnRequestOf(roundTrip(wire.transactionMap(conditions, changes))), {
          conditions,
          changes,
        });
      },
    ),
    params,
  );
});

test('pages of finished tasks are unchanged by a round trip', () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 4000 }), (bits) => {
      assert.deepEqual(wire.finishedRecord.read(wire.decode(wire.encode(wire.finishedRecord.write(bits)))), bits);
    }),
    params,
  );
});

const anyGroup: fc.Arbitrary<wire.GroupRecord> = fc.record(
  {
    generation: count,
    state: fc.constantFrom(...wire.GROUP_STATES),
    since: fc.double({ min: 0, max: 1e13, noNaN: true }),
    reason: fc.constantFrom(...wire.GROUP_REASONS),
    failures: fc.integer({ min: 0, max: 100 }),
    hasServed: fc.boolean(),
    avoidedMachine: fc.option(word),
    members: fc.array(
      fc.record({ partitionId: fc.integer({ min: 0, max: 6 }), machine: word, attempt: fc.option(count) }, plain),
      { maxLength: 5 },
    ),
  },
  plain,
);

test('a group record is unchanged by a round trip, and invalid values throw only MalformedMessageError', () => {
  fc.assert(
    fc.property(anyGroup, (record) => {
      const stored = wire.decode(wire.encode(wire.groupRecord.write(record)));
      assert.deepEqual(wire.groupRecord.read(stored), record);
    }),
    params,
  );
  fc.assert(
    fc.property(fc.anything(), (value) => {
      try {
        wire.groupRecord.read(value);
      } catch (error) {
        assert.ok(error instanceof wire.MalformedMessageError);
      }
    }),
    params,
  );
  assert.deepEqual(wire.parseKey(wire.KEYS.group('j-000007')), { kind: 'group', job: 'j-000007' });
});

test('a record with maxGroupMembers members fits into a value', () => {
  for (const kb of [2, 8, 16]) {
    const maxMembers = wire.maxGroupMembers(kb * 1024);
    const member = { partitionId: 999, machine: 'm'.repeat(64), attempt: 2 ** 48 };
    const record: wire.GroupRecord = {
      generation: 2 ** 31,
      state: 'serving',
      since: 1_790_000_000_000.123,
      reason: 'members did not start in time',
      failures: 1000,
      hasServed: true,
      avoidedMachine: member.machine,
      members: Array.from({ length: maxMembers }, () => member),
    };
    const text = JSON.stringify(wire.groupRecord.write(record), (_key, value: unknown) =>
      typeof value === 'bigint' ? Number(value) : value,
    );
    assert.ok(text.length <= kb * 1024, `${text.length}`);
  }
});
