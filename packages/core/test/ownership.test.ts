import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Change, HoldRecord, OwnerRecord } from '@gingerlock/wire';
import { holdRecord, KEYS, ownerRecord, termRecord } from '@gingerlock/wire';
import fc from 'fast-check';
import {
  maxAnswerContactAgeMs,
  Ownership,
  type OwnershipView,
  type Resumption,
  stateLeaseMs,
  type Acquisition,
  acquisitionBoundMs,
  type OwnershipTerm,
  type Transaction,
} from '../src/index';
import { CLUSTER_CONFIG } from './fixtures';

const clusterConfig = { ...CLUSTER_CONFIG, controllers: 3 };

/** The least of a state service that the state machine can be run against. */
class Store {
  readonly data = new Map<string, { value: unknown; version: number; lease: number | null }>();
  revision = 0;

  run(transaction: Transaction, leaseValid: (lease: number) => boolean): number {
    for (const c of transaction.changes) if ('put' in c && c.lease !== undefined && !leaseValid(c.lease)) return 0;
    if (transaction.conditions.some((c) => (this.data.get(c.key)?.version ?? 0) !== c.version)) return 0;
    this.revision++;
    for (const c of transaction.changes) this.#apply(c);
    return this.revision;
  }

  #apply(c: Change): void {
    if ('put' in c) this.data.set(c.put, { value: c.value, version: this.revision, lease: c.lease ?? null });
    else this.data.delete(c.remove);
  }

  dropLease(lease: number): void {
    this.revision++;
    for (const [key, e] of this.data) if (e.lease === lease) this.data.delete(key);
  }

  view(resource: string): OwnershipView {
    const read = <T>(key: string, parse: (v: unknown) => T): { record: T; version: number } | null => {
      const e = this.data.get(key);
      return e === undefined ? null : { record: parse(e.value), version: e.version };
    };
    return {
      owner: read<OwnerRecord>(KEYS.owner(resource), ownerRecord.read),
      hold: read<HoldRecord>(KEYS.hold(resource), holdRecord.read),
      term: read(KEYS.term, termRecord.read),
      confirmedTerm: read(KEYS.confirmedTerm(resource), termRecord.read)?.record ?? 0,
    };
  }
}

/** Time of day at the begin of a test. */
const WALL = 1e12;

function ownershipOf(node: string, process = node, turn = 0): Ownership {
  return new Ownership('0', clusterConfig, { node, process }, () => turn);
}

/** Decides on the store as it stands, which has to lead to an acquisition. */
function decideToTake(ownership: Ownership, clusterState: Store, lease: number, now: number, wallOff = 0): Acquisition {
  const decision = ownership.decide(clusterState.view('0'), lease, now, WALL + now + wallOff);
  assert.ok(decision.kind === 'acquire');
  return decision;
}

function confirmAcquisition(ownershipTerm: OwnershipTerm, clusterState: Store): void {
  const confirmation = ownershipTerm.confirmAcquisition();
  if (confirmation !== null) clusterState.run(confirmation, () => true);
}

/** Takes the resource by a transaction that is known at `doneAt` to have been carried out. */
function take(
  ownership: Ownership,
  clusterState: Store,
  lease: number,
  now: number,
  doneAt = now,
  wallOff = 0,
): OwnershipTerm {
  const attempt = decideToTake(ownership, clusterState, lease, now, wallOff);
  const version = clusterState.run(attempt.transaction, () => true);
  const ownershipTerm = ownership.acquired(attempt, version, doneAt, doneAt, WALL + doneAt + wallOff);
  assert.ok(ownershipTerm !== null);
  confirmAcquisition(ownershipTerm, clusterState);
  return ownershipTerm;
}

test('whatever happens, terms only rise, and one controller at most can write as the owner', () => {
  const what = [
    'decide',
    'decide',
    'decide',
    'decide',
    'lose lease',
    'lose lease',
    'outcome',
    'asked',
    'late',
    'stale',
    'release',
    'restart',
  ];
  const step = fc.record(
    {
      node: fc.integer({ min: 0, max: 2 }),
      what: fc.constantFrom(...what),
      after: fc.integer({ min: 1, max: 4000 }),
      /** The outcome is known only later, maybe after other attempts have begun. */
      slow: fc.boolean(),
    },
    { noNullPrototype: true },
  );
  let overtaken = 0;
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 60 }), (steps) => {
      const clusterState = new Store();
      let now = 0;
      let process = 0;
      let nextLease = 1;
      const leases = new Map<number, number>();
      const make = (n: number): Ownership => ownershipOf(`n${n}`, `p${++process}`, n);
      const nodes = [0, 1, 2].map((n) => ({ ownership: make(n), n, oldView: clusterState.view('0') }));
      for (const { n } of nodes) leases.set(n, nextLease++);
      const valid = (lease: number): boolean => [...leases.values()].includes(lease);
      const late: { transaction: Transaction; lease: number }[] = [];
      const outcomes: (() => void)[] = [];
      /** By controller: no earlier term than this may begin or go on there. */
      const renounced = new Map<Ownership, number>();
      let highest = 0;
      const conclude = (ownership: Ownership, attempt: Acquisition | Resumption, version: number): void => {
        const isPending = ownership.isPending(attempt);
        const { state, ownershipTerm } = ownership;
        if (version === 0) ownership.failed(attempt);
        else if (attempt.kind === 'resume') ownership.resumed(attempt);
        else {
          const ownershipTerm = ownership.acquired(attempt, version, now, now, WALL + now);
          if (ownershipTerm !== null) {
            assert.equal(ownershipTerm.term, attempt.term);
            assert.equal(ownershipTerm.version, version);
            confirmAcquisition(ownershipTerm, clusterState);
          }
        }
        if (isPending) return;
        overtaken++;
        assert.equal(ownership.state, state, 'the outcome of an earlier attempt changed the state');
        assert.equal(ownership.ownershipTerm, ownershipTerm);
      };
      for (const step of steps) {
        now += step.after;
        const node = nodes[step.node]!;
        const { ownership } = node;
        if (step.what === 'restart') {
          // The lease of the dead process lives on for a while: its hold stays, and names this controller.
          node.ownership = make(node.n);
          leases.set(node.n, nextLease++);
          continue;
        }
        if (step.what === 'lose lease') {
          const lease = leases.get(node.n)!;
          leases.set(node.n, nextLease++);
          clusterState.dropLease(lease);
          continue;
        }
        if (step.what === 'late') {
          const held = late.shift();
          if (held !== undefined) clusterState.run(held.transaction, valid);
          continue;
        }
        if (step.what === 'outcome') {
          outcomes.shift()?.();
          continue;
        }
        if (step.what === 'asked') {
          const term = clusterState.view('0').owner?.record.term;
          if (term === undefined) continue;
          const before = ownership.ownershipTerm;
          const ended = ownership.renounceBefore(term);
          if (ownership.ownershipTerm === null) renounced.set(ownership, term);
          assert.equal(ended, ownership.ownershipTerm === before ? null : before);
          continue;
        }
        if (step.what === 'release') {
          const attempt = ownership.release(clusterState.view('0'));
          if (attempt === null) continue;
          assert.equal(ownership.ownershipTerm, null);
          assert.ok(!attempt.ownershipTerm.isCurrent);
          // Sent twice, or so late that it comes after all else.
          late.push({ transaction: attempt.transaction, lease: leases.get(node.n)! });
          if (step.after % 2 === 0) clusterState.run(attempt.transaction, valid);
          ownership.released(attempt);
          continue;
        }
        const view = step.what === 'stale' ? node.oldView : clusterState.view('0');
        node.oldView = clusterState.view('0');
        const before = ownership.ownershipTerm;
        const decision = ownership.decide(view, leases.get(node.n)!, now, WALL + now);
        if (decision.kind === 'lost') assert.equal(decision.ownershipTerm, before);
        if (ownership.ownershipTerm !== null)
          assert.equal(ownership.ownershipTerm.version, view.owner?.version, 'the view shows another');
        if (decision.kind === 'acquire' || decision.kind === 'resume') {
          // A copy of the request may come once more, later.
          late.push({ transaction: decision.transaction, lease: leases.get(node.n)! });
          const version = clusterState.run(decision.transaction, valid);
          if (step.slow) outcomes.push(() => conclude(ownership, decision, version));
          else conclude(ownership, decision, version);
        }
        const owner = clusterState.view('0').owner;
        if (owner !== null) {
          assert.ok(owner.record.term >= highest, 'term went back');
          highest = owner.record.term;
          // A write as owner is conditional on the version of the owner's record.
          const writers = nodes.filter((x) => x.ownership.ownershipTerm?.version === owner.version);
          assert.ok(writers.length <= 1, 'two writers');
          for (const w of writers) assert.equal(w.ownership.ownershipTerm!.term, owner.record.term);
        }
        for (const x of nodes) {
          const term = x.ownership.ownershipTerm?.term;
          assert.ok((term ?? Infinity) >= (renounced.get(x.ownership) ?? 0), 'a no was taken back');
        }
      }
    }),
    { seed: 391, numRuns: 1000 },
  );
  assert.ok(overtaken > 0, 'no outcome came after another attempt had begun');
});

test('an earlier process of this controller leaves its claims for a worker lease, another controller for a cancellation', () => {
  const clusterState = new Store();
  const first = take(ownershipOf('a', '1'), clusterState, 1, 0);
  assert.equal(first.fencedUntil, 0);
  const again = take(ownershipOf('a', '2'), clusterState, 1, 1000);
  assert.ok(
    again.fencedUntil >= 1000 + clusterConfig.workerLeaseMs &&
      again.fencedUntil < 1000 + clusterConfig.cancellationBoundMs,
  );
  clusterState.dropLease(1);
  const other = take(ownershipOf('b', '3'), clusterState, 1, 2000);
  assert.ok(other.fencedUntil >= 2000 + clusterConfig.cancellationBoundMs);
  // Its restart does not shorten the wait that began with the failover between controllers.
  const otherAgain = take(ownershipOf('b', '4'), clusterState, 1, 3000);
  assert.ok(otherAgain.fencedUntil >= 2000 + clusterConfig.cancellationBoundMs);
});

test('a resource that was released is fenced for a worker lease, but not for less than the failover that preceded it', () => {
  const clusterState = new Store();
  const giveBack = (ownership: Ownership): void => {
    const attempt = ownership.release(clusterState.view('0'))!;
    assert.ok(clusterState.run(attempt.transaction, () => true) > 0);
    assert.equal(ownership.ownershipTerm, null);
    assert.equal(ownership.release(clusterState.view('0')), null);
  };
  const first = ownershipOf('a', 'a0');
  take(first, clusterState, 1, 0);
  giveBack(first);
  const second = take(ownershipOf('b', 'b1000'), clusterState, 2, 1000);
  assert.ok(
    second.fencedUntil >= 1000 + clusterConfig.workerLeaseMs &&
      second.fencedUntil < 1000 + clusterConfig.cancellationBoundMs,
  );
  clusterState.dropLease(2);
  const third = ownershipOf('c', 'c2000');
  assert.ok(take(third, clusterState, 3, 2000).fencedUntil >= 2000 + clusterConfig.cancellationBoundMs);
  giveBack(third);
  // The one before the last may have gone on until then.
  assert.ok(
    take(ownershipOf('a', 'a3000'), clusterState, 1, 3000).fencedUntil >= 2000 + clusterConfig.cancellationBoundMs,
  );
});

test('nothing that an owner may have answered runs any more when the next one takes it for gone', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 0, max: 60_000 }),
      fc.integer({ min: 0, max: 900 }),
      fc.integer({ min: -100, max: 100 }),
      fc.boolean(),
      (at, takeMs, skew, restarted) => {
        const clusterState = new Store();
        take(ownershipOf('a', 'a0'), clusterState, 1, 0);
        clusterState.dropLease(1);
        // The acquisition may have been carried out, and the owner before may have read, until its answer came.
        let second = take(ownershipOf('b', 'b1'), clusterState, 3, at, at + takeMs);
        const backAt = at + takeMs + 1000;
        if (restarted) second = take(ownershipOf('b', 'b2'), clusterState, 3, backAt, backAt, skew);
        const gone = at + takeMs + maxAnswerContactAgeMs(clusterConfig) + clusterConfig.workerLeaseMs;
        assert.ok(gone <= second.fencedUntil, `may run until ${gone}, fenced until ${second.fencedUntil}`);
      },
    ),
    { seed: 391, numRuns: 1000 },
  );
});

/**
 * Whether an owner restarted by its clock takes the one before for gone only when it is; clocks are off by what is
 * given.
 */
function waitsLongEnough(told: number, at: number, takeMs: number, offs: readonly [number, number]): boolean {
  const ownership = (process: string): Ownership =>
    new Ownership('0', { ...clusterConfig, maxClockSkewMs: told }, { node: 'b', process }, () => 0);
  const clusterState = new Store();
  take(ownershipOf('a', 'a0'), clusterState, 1, 0);
  clusterState.dropLease(1);
  take(ownership('b1'), clusterState, 3, at, at + takeMs, offs[0]);
  const backAt = at + takeMs + 1000;
  const second = take(ownership('b2'), clusterState, 3, backAt, backAt, offs[1]);
  return at + takeMs + maxAnswerContactAgeMs(clusterConfig) + clusterConfig.workerLeaseMs <= second.fencedUntil;
}

// A deployment came whose clocks are off by ten times what had been played.
test('the fencing period holds with clocks at both ends of what the settings say, and not with clocks beyond them', () => {
  const draw = (
    maxClockSkewMs: number,
  ): [fc.Arbitrary<number>, fc.Arbitrary<number>, fc.Arbitrary<[number, number]>] => {
    const off = fc.constantFrom(-maxClockSkewMs, 0, maxClockSkewMs);
    return [fc.integer({ min: 0, max: 60_000 }), fc.integer({ min: 0, max: 900 }), fc.tuple(off, off)];
  };
  for (const maxClockSkewMs of [100, 1000, 5000]) {
    fc.assert(
      fc.property(...draw(maxClockSkewMs), (at, takeMs, offs) => waitsLongEnough(maxClockSkewMs, at, takeMs, offs)),
      { seed: 391, numRuns: 300 },
    );
  }
  // A mutant that takes all clocks for right.
  const mutant = fc.check(
    fc.property(...draw(5000), (at, takeMs, offs) => waitsLongEnough(0, at, takeMs, offs)),
    { seed: 391, numRuns: 300 },
  );
  assert.ok(mutant.failed);
});

// After a crash in the middle of a cut the wait for a cancellation began anew, though the controller that had crashed
// was back and could say that it owned nothing.
test('an owner before that has given the resource up leaves a worker lease, and the one before it its own time', () => {
  const ttl = stateLeaseMs(clusterConfig);
  const span = fc.integer({ min: 0, max: 30_000 });
  fc.assert(
    fc.property(span, span, span, (firstTakenAt, reign, asked) => {
      const clusterState = new Store();
      take(ownershipOf('a'), clusterState, 1, 0);
      clusterState.dropLease(1);
      take(ownershipOf('b'), clusterState, 2, firstTakenAt);
      clusterState.dropLease(2);
      const acquiredAt = firstTakenAt + ttl + reign;
      const third = take(ownershipOf('c'), clusterState, 3, acquiredAt);
      const waiting = third.fencedUntil;
      third.confirmPreviousOwnerEnded('a', acquiredAt + asked, WALL + acquiredAt + asked);
      assert.equal(third.fencedUntil, waiting, 'it was not the owner before');
      const saidAt = acquiredAt + asked;
      third.confirmPreviousOwnerEnded('b', saidAt, WALL + saidAt);
      const gone = Math.max(
        saidAt + clusterConfig.workerLeaseMs,
        firstTakenAt + maxAnswerContactAgeMs(clusterConfig) + clusterConfig.workerLeaseMs,
      );
      assert.ok(third.fencedUntil >= Math.min(waiting, gone), `${third.fencedUntil} before ${gone}`);
      assert.ok(third.fencedUntil <= waiting);
    }),
    { seed: 391, numRuns: 1000 },
  );
});

// An acquisition that was carried out long after it had been decided on, as after an outage, left a time that was too
// early; if its process then ended before it had acquired the resource once more, the next one counted from that time.
test('an acquisition under way for long leaves no time that a later owner counts from, whoever that is', () => {
  const decided = 1000;
  const carriedOut = decided + 60_000;
  for (const [node, process] of [
    ['b', 'b2'],
    ['c', 'c1'],
  ] as const) {
    const clusterState = new Store();
    take(ownershipOf('a', 'a1'), clusterState, 1, 0);
    clusterState.dropLease(1);
    const slow = ownershipOf('b', 'b1');
    const attempt = decideToTake(slow, clusterState, 1, decided);
    const version = clusterState.run(attempt.transaction, () => true);
    assert.equal(slow.acquired(attempt, version, carriedOut, carriedOut, WALL + carriedOut), null);
    assert.equal(slow.ownershipTerm, null);
    clusterState.dropLease(1);
    const now = carriedOut + 500;
    const after = take(ownershipOf(node, process), clusterState, 1, now);
    // The first owner may have read for the last time just before another acquired the resource.
    const gone = carriedOut + maxAnswerContactAgeMs(clusterConfig) + clusterConfig.workerLeaseMs;
    assert.ok(after.fencedUntil >= gone, `${node}: may run until ${gone}, fenced until ${after.fencedUntil}`);
    after.confirmPreviousOwnerEnded('b', now + 100, WALL + now + 100);
    assert.ok(after.fencedUntil >= gone, `${node}, asked: may run until ${gone}, fenced until ${after.fencedUntil}`);
  }
});

test('an acquisition that was carried out in time stands, however long the reading after it takes', () => {
  const clusterState = new Store();
  const takeAndRead = (node: string, now: number): OwnershipTerm => {
    const ownership = ownershipOf(node);
    const attempt = decideToTake(ownership, clusterState, 1, now);
    const readAt = now + 10 * clusterConfig.heartbeatIntervalMs;
    const version = clusterState.run(attempt.transaction, () => true);
    const ownershipTerm = ownership.acquired(attempt, version, now + 100, readAt, WALL + readAt);
    assert.ok(ownershipTerm !== null, node);
    return ownershipTerm;
  };
  takeAndRead('a', 0);
  clusterState.dropLease(1);
  const second = takeAndRead('b', 1000);
  assert.ok(second.fencedUntil >= 1000 + 100 + maxAnswerContactAgeMs(clusterConfig) + clusterConfig.workerLeaseMs);
});

// While the answer to its resumption was out, an owner did not look at the owner record: it answered workers as long as
// it could read, though each read showed the next owner.
test('an owner that is putting its hold back ends as soon as a view shows another owner', () => {
  const clusterState = new Store();
  const first = ownershipOf('a');
  const ownershipTerm = take(first, clusterState, 1, 0);
  clusterState.dropLease(1);
  const decision = first.decide(clusterState.view('0'), 2, 1000, WALL + 1000);
  assert.equal(decision.kind, 'resume');
  assert.ok(ownershipTerm.isCurrent);
  take(ownershipOf('b'), clusterState, 3, 1000);
  assert.equal(first.decide(clusterState.view('0'), 2, 2000, WALL + 2000).kind, 'lost');
  assert.ok(!ownershipTerm.isCurrent);
  assert.equal(first.ownershipTerm, null);
});

// The outcome of a resumption was taken for that of whatever was under way when it came: an acquisition begun since was
// given up though it had been carried out, or stood under a term that its record did not have.
test('the outcome of a resumption that comes during a later acquisition leaves that acquisition alone', () => {
  const clusterState = new Store();
  const first = ownershipOf('a');
  take(first, clusterState, 1, 0);
  clusterState.dropLease(1);
  const resumption = first.decide(clusterState.view('0'), 2, 1000, WALL + 1000);
  assert.ok(resumption.kind === 'resume');
  const between = take(ownershipOf('b'), clusterState, 3, 1000);
  assert.equal(first.renounceBefore(between.term), resumption.ownershipTerm);
  clusterState.dropLease(3);
  const now = 1000 + acquisitionBoundMs(clusterConfig);
  const acquisition = decideToTake(first, clusterState, 2, now);
  assert.equal(first.failed(resumption), false);
  assert.equal(first.resumed(resumption), false);
  assert.equal(first.state, 'acquiring');
  const version = clusterState.run(acquisition.transaction, () => true);
  const ownershipTerm = first.acquired(acquisition, version, now, now, WALL + now);
  assert.equal(ownershipTerm?.term, clusterState.view('0').owner?.record.term);
  assert.ok(!resumption.ownershipTerm.isCurrent);
});

// Asked while its acquisition waited for a read, a controller said that it did not own the partition, and then opened
// it.
test('an acquisition under way is given up for a later owner that asks, and never opened', () => {
  const clusterState = new Store();
  const first = ownershipOf('a');
  const attempt = decideToTake(first, clusterState, 1, 0);
  const version = clusterState.run(attempt.transaction, () => true);
  clusterState.dropLease(1);
  const later = take(ownershipOf('b'), clusterState, 2, 1000);
  assert.equal(first.renounceBefore(later.term), null);
  assert.equal(first.acquired(attempt, version, 1500, 1500, WALL + 1500), null);
  assert.equal(first.ownershipTerm, null);
  // One that was asked about by an earlier owner goes on.
  clusterState.dropLease(2);
  const next = decideToTake(first, clusterState, 3, 10_000);
  first.renounceBefore(later.term);
  assert.ok(first.isPending(next));
});
