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
  storeLeaseMs,
  type Acquisition,
  acquisitionBoundMs,
  type OwnershipTerm,
  type Transaction,
} from '../src/index';
import { CLUSTER_CONFIG } from './fixtures';

const clusterConfig = { ...CLUSTER_CONFIG, controllers: 3 };

/** A minimal in-memory key-value store for the state machine. */
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

/** Time of day (ms) at the start of a test. */
const START_WALL_MS = 1e12;

function ownershipOf(node: string, process = node, acquisitionDelay = 0): Ownership {
  return new Ownership('0', clusterConfig, { node, process }, () => acquisitionDelay);
}

/** Decides on the current records of the store; the decision has to be an acquisition. */
function decideToAcquire(
  ownership: Ownership,
  clusterState: Store,
  lease: number,
  now: number,
  clockSkewMs = 0,
): Acquisition {
  const decision = ownership.decide(clusterState.view('0'), lease, now, START_WALL_MS + now + clockSkewMs);
  assert.ok(decision.kind === 'acquire');
  return decision;
}

function confirmAcquisition(ownershipTerm: OwnershipTerm, clusterState: Store): void {
  const confirmation = ownershipTerm.confirmAcquisition();
  if (confirmation !== null) clusterState.run(confirmation, () => true);
}

/** Acquires the resource by a transaction that is known at `doneAt` to have been carried out. */
function acquire(
  ownership: Ownership,
  clusterState: Store,
  lease: number,
  now: number,
  doneAt = now,
  clockSkewMs = 0,
): OwnershipTerm {
  const attempt = decideToAcquire(ownership, clusterState, lease, now, clockSkewMs);
  const version = clusterState.run(attempt.transaction, () => true);
  const ownershipTerm = ownership.acquired(attempt, version, doneAt, doneAt, START_WALL_MS + doneAt + clockSkewMs);
  assert.ok(ownershipTerm !== null);
  confirmAcquisition(ownershipTerm, clusterState);
  return ownershipTerm;
}

test('terms never decrease, and at most one controller can write as the owner, after random events', () => {
  const actions = [
    'decide',
    'decide',
    'decide',
    'decide',
    'lose lease',
    'lose lease',
    'delayed outcome',
    'ownership query',
    'delayed transaction',
    'stale view',
    'release',
    'restart',
  ];
  const step = fc.record(
    {
      node: fc.integer({ min: 0, max: 2 }),
      action: fc.constantFrom(...actions),
      afterMs: fc.integer({ min: 1, max: 4000 }),
      /** Whether the outcome becomes known only later, maybe after other attempts have begun. */
      isOutcomeDelayed: fc.boolean(),
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
      const delayed: { transaction: Transaction; lease: number }[] = [];
      const delayedOutcomes: (() => void)[] = [];
      /** By controller: it must not own the resource under a term lower than this. */
      const renounced = new Map<Ownership, number>();
      let highest = 0;
      const conclude = (ownership: Ownership, attempt: Acquisition | Resumption, version: number): void => {
        const isPending = ownership.isPending(attempt);
        const { state, ownershipTerm } = ownership;
        if (version === 0) ownership.failed(attempt);
        else if (attempt.kind === 'resume') ownership.resumed(attempt);
        else {
          const ownershipTerm = ownership.acquired(attempt, version, now, now, START_WALL_MS + now);
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
        now += step.afterMs;
        const node = nodes[step.node]!;
        const { ownership } = node;
        if (step.action === 'restart') {
          // The lease of the dead process is still valid: its hold remains, and names this controller.
          node.ownership = make(node.n);
          leases.set(node.n, nextLease++);
          continue;
        }
        if (step.action === 'lose lease') {
          const lease = leases.get(node.n)!;
          leases.set(node.n, nextLease++);
          clusterState.dropLease(lease);
          continue;
        }
        if (step.action === 'delayed transaction') {
          const transaction = delayed.shift();
          if (transaction !== undefined) clusterState.run(transaction.transaction, valid);
          continue;
        }
        if (step.action === 'delayed outcome') {
          delayedOutcomes.shift()?.();
          continue;
        }
        if (step.action === 'ownership query') {
          const term = clusterState.view('0').owner?.record.term;
          if (term === undefined) continue;
          const before = ownership.ownershipTerm;
          const ended = ownership.renounceBefore(term);
          if (ownership.ownershipTerm === null) renounced.set(ownership, term);
          assert.equal(ended, ownership.ownershipTerm === before ? null : before);
          continue;
        }
        if (step.action === 'release') {
          const attempt = ownership.release(clusterState.view('0'));
          if (attempt === null) continue;
          assert.equal(ownership.ownershipTerm, null);
          assert.ok(!attempt.ownershipTerm.isCurrent);
          // The transaction reaches the store twice, or only after later ones.
          delayed.push({ transaction: attempt.transaction, lease: leases.get(node.n)! });
          if (step.afterMs % 2 === 0) clusterState.run(attempt.transaction, valid);
          ownership.released(attempt);
          continue;
        }
        const view = step.action === 'stale view' ? node.oldView : clusterState.view('0');
        node.oldView = clusterState.view('0');
        const before = ownership.ownershipTerm;
        const decision = ownership.decide(view, leases.get(node.n)!, now, START_WALL_MS + now);
        if (decision.kind === 'lost') assert.equal(decision.ownershipTerm, before);
        if (ownership.ownershipTerm !== null)
          assert.equal(ownership.ownershipTerm.version, view.owner?.version, 'the view shows another owner record');
        if (decision.kind === 'acquire' || decision.kind === 'resume') {
          // A duplicate of the request may reach the store later.
          delayed.push({ transaction: decision.transaction, lease: leases.get(node.n)! });
          const version = clusterState.run(decision.transaction, valid);
          if (step.isOutcomeDelayed) delayedOutcomes.push(() => conclude(ownership, decision, version));
          else conclude(ownership, decision, version);
        }
        const owner = clusterState.view('0').owner;
        if (owner !== null) {
          assert.ok(owner.record.term >= highest, 'the term decreased');
          highest = owner.record.term;
          // A write as the owner is conditional on the version of the owner record.
          const writers = nodes.filter((x) => x.ownership.ownershipTerm?.version === owner.version);
          assert.ok(writers.length <= 1, 'two controllers can write as the owner');
          for (const w of writers) assert.equal(w.ownership.ownershipTerm!.term, owner.record.term);
        }
        for (const x of nodes) {
          const term = x.ownership.ownershipTerm?.term;
          assert.ok(
            (term ?? Infinity) >= (renounced.get(x.ownership) ?? 0),
            'a controller owns the resource under a term that it has renounced',
          );
        }
      }
    }),
    { seed: 391, numRuns: 1000 },
  );
  assert.ok(overtaken > 0, 'no outcome came after another attempt had begun');
});

test('the fencing period lasts a worker lease after a restart of the owner, and the cancellation bound after a failover', () => {
  const clusterState = new Store();
  const first = acquire(ownershipOf('a', '1'), clusterState, 1, 0);
  assert.equal(first.fencedUntil, 0);
  const again = acquire(ownershipOf('a', '2'), clusterState, 1, 1000);
  assert.ok(
    again.fencedUntil >= 1000 + clusterConfig.workerLeaseMs &&
      again.fencedUntil < 1000 + clusterConfig.cancellationBoundMs,
  );
  clusterState.dropLease(1);
  const other = acquire(ownershipOf('b', '3'), clusterState, 1, 2000);
  assert.ok(other.fencedUntil >= 2000 + clusterConfig.cancellationBoundMs);
  // A restart of the new owner does not shorten the fencing period that began with the failover.
  const otherAgain = acquire(ownershipOf('b', '4'), clusterState, 1, 3000);
  assert.ok(otherAgain.fencedUntil >= 2000 + clusterConfig.cancellationBoundMs);
});

test('the fencing period after a release lasts a worker lease, but never ends before that of an earlier failover', () => {
  const clusterState = new Store();
  const release = (ownership: Ownership): void => {
    const attempt = ownership.release(clusterState.view('0'))!;
    assert.ok(clusterState.run(attempt.transaction, () => true) > 0);
    assert.equal(ownership.ownershipTerm, null);
    assert.equal(ownership.release(clusterState.view('0')), null);
  };
  const first = ownershipOf('a', 'a0');
  acquire(first, clusterState, 1, 0);
  release(first);
  const second = acquire(ownershipOf('b', 'b1000'), clusterState, 2, 1000);
  assert.ok(
    second.fencedUntil >= 1000 + clusterConfig.workerLeaseMs &&
      second.fencedUntil < 1000 + clusterConfig.cancellationBoundMs,
  );
  clusterState.dropLease(2);
  const third = ownershipOf('c', 'c2000');
  assert.ok(acquire(third, clusterState, 3, 2000).fencedUntil >= 2000 + clusterConfig.cancellationBoundMs);
  release(third);
  // The owner before the last one may have answered workers until then.
  assert.ok(
    acquire(ownershipOf('a', 'a3000'), clusterState, 1, 3000).fencedUntil >= 2000 + clusterConfig.cancellationBoundMs,
  );
});

test('all tasks of the previous owner have ended when the fencing period of the next owner is over', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 0, max: 60_000 }),
      fc.integer({ min: 0, max: 900 }),
      fc.integer({ min: -100, max: 100 }),
      fc.boolean(),
      (sentAt, delayMs, skewMs, restarted) => {
        const clusterState = new Store();
        acquire(ownershipOf('a', 'a0'), clusterState, 1, 0);
        clusterState.dropLease(1);
        // Until its answer came, the acquisition may have been carried out and the previous owner may have read the
        // store.
        let second = acquire(ownershipOf('b', 'b1'), clusterState, 3, sentAt, sentAt + delayMs);
        const restartedAt = sentAt + delayMs + 1000;
        if (restarted) second = acquire(ownershipOf('b', 'b2'), clusterState, 3, restartedAt, restartedAt, skewMs);
        const tasksEndAt = sentAt + delayMs + maxAnswerContactAgeMs(clusterConfig) + clusterConfig.workerLeaseMs;
        assert.ok(tasksEndAt <= second.fencedUntil, `may run until ${tasksEndAt}, fenced until ${second.fencedUntil}`);
      },
    ),
    { seed: 391, numRuns: 1000 },
  );
});

/**
 * Whether the fencing period that an owner computes after its restart lasts until all tasks of the previous owner have
 * ended. `skewsMs`: the clock errors of the owner before and after the restart.
 */
function isFencedLongEnough(
  configuredSkewMs: number,
  sentAt: number,
  delayMs: number,
  skewsMs: readonly [number, number],
): boolean {
  const ownership = (process: string): Ownership =>
    new Ownership('0', { ...clusterConfig, maxClockSkewMs: configuredSkewMs }, { node: 'b', process }, () => 0);
  const clusterState = new Store();
  acquire(ownershipOf('a', 'a0'), clusterState, 1, 0);
  clusterState.dropLease(1);
  acquire(ownership('b1'), clusterState, 3, sentAt, sentAt + delayMs, skewsMs[0]);
  const restartedAt = sentAt + delayMs + 1000;
  const second = acquire(ownership('b2'), clusterState, 3, restartedAt, restartedAt, skewsMs[1]);
  return sentAt + delayMs + maxAnswerContactAgeMs(clusterConfig) + clusterConfig.workerLeaseMs <= second.fencedUntil;
}

// Guards against clock skew beyond that of the other tests: one deployment has ten times as much.
test('the fencing period is long enough up to the configured clock skew, and too short beyond it', () => {
  const arbitraries = (
    maxClockSkewMs: number,
  ): [fc.Arbitrary<number>, fc.Arbitrary<number>, fc.Arbitrary<[number, number]>] => {
    const skewMs = fc.constantFrom(-maxClockSkewMs, 0, maxClockSkewMs);
    return [fc.integer({ min: 0, max: 60_000 }), fc.integer({ min: 0, max: 900 }), fc.tuple(skewMs, skewMs)];
  };
  for (const maxClockSkewMs of [100, 1000, 5000]) {
    fc.assert(
      fc.property(...arbitraries(maxClockSkewMs), (sentAt, delayMs, skewsMs) =>
        isFencedLongEnough(maxClockSkewMs, sentAt, delayMs, skewsMs),
      ),
      { seed: 391, numRuns: 300 },
    );
  }
  // A mutant that assumes that there is no clock skew.
  const mutant = fc.check(
    fc.property(...arbitraries(5000), (sentAt, delayMs, skewsMs) => isFencedLongEnough(0, sentAt, delayMs, skewsMs)),
    { seed: 391, numRuns: 300 },
  );
  assert.ok(mutant.failed);
});

// Guards against a fencing period of the full cancellation bound after a crash during a network cut, although the
// crashed controller is back and can answer that it owns nothing.
test('a previous owner that has ended shortens fencing to a worker lease, but not below the bound of the owner before it', () => {
  const leaseMs = storeLeaseMs(clusterConfig);
  const durationMs = fc.integer({ min: 0, max: 30_000 });
  fc.assert(
    fc.property(durationMs, durationMs, durationMs, (failoverAt, ownedMs, queryDelayMs) => {
      const clusterState = new Store();
      acquire(ownershipOf('a'), clusterState, 1, 0);
      clusterState.dropLease(1);
      acquire(ownershipOf('b'), clusterState, 2, failoverAt);
      clusterState.dropLease(2);
      const acquiredAt = failoverAt + leaseMs + ownedMs;
      const third = acquire(ownershipOf('c'), clusterState, 3, acquiredAt);
      const fencedUntilBefore = third.fencedUntil;
      third.confirmPreviousOwnerEnded('a', acquiredAt + queryDelayMs, START_WALL_MS + acquiredAt + queryDelayMs);
      assert.equal(third.fencedUntil, fencedUntilBefore, 'the answer is not from the previous owner');
      const answeredAt = acquiredAt + queryDelayMs;
      third.confirmPreviousOwnerEnded('b', answeredAt, START_WALL_MS + answeredAt);
      const tasksEndAt = Math.max(
        answeredAt + clusterConfig.workerLeaseMs,
        failoverAt + maxAnswerContactAgeMs(clusterConfig) + clusterConfig.workerLeaseMs,
      );
      assert.ok(
        third.fencedUntil >= Math.min(fencedUntilBefore, tasksEndAt),
        `${third.fencedUntil} before ${tasksEndAt}`,
      );
      assert.ok(third.fencedUntil <= fencedUntilBefore);
    }),
    { seed: 391, numRuns: 1000 },
  );
});

// Guards against a fencing period that ends too early. An acquisition carried out long after it was decided on, as
// after an outage, writes a failover time that is too early. If its process then ends before it acquires the resource
// again, the next owner must not count from that time.
test('no later owner counts from the time that a slow acquisition wrote', () => {
  const decidedAt = 1000;
  const carriedOutAt = decidedAt + 60_000;
  for (const [node, process] of [
    ['b', 'b2'],
    ['c', 'c1'],
  ] as const) {
    const clusterState = new Store();
    acquire(ownershipOf('a', 'a1'), clusterState, 1, 0);
    clusterState.dropLease(1);
    const slowOwnership = ownershipOf('b', 'b1');
    const attempt = decideToAcquire(slowOwnership, clusterState, 1, decidedAt);
    const version = clusterState.run(attempt.transaction, () => true);
    assert.equal(
      slowOwnership.acquired(attempt, version, carriedOutAt, carriedOutAt, START_WALL_MS + carriedOutAt),
      null,
    );
    assert.equal(slowOwnership.ownershipTerm, null);
    clusterState.dropLease(1);
    const now = carriedOutAt + 500;
    const laterTerm = acquire(ownershipOf(node, process), clusterState, 1, now);
    // The first owner may have last read the store just before the slow acquisition was carried out.
    const tasksEndAt = carriedOutAt + maxAnswerContactAgeMs(clusterConfig) + clusterConfig.workerLeaseMs;
    assert.ok(
      laterTerm.fencedUntil >= tasksEndAt,
      `${node}: may run until ${tasksEndAt}, fenced until ${laterTerm.fencedUntil}`,
    );
    laterTerm.confirmPreviousOwnerEnded('b', now + 100, START_WALL_MS + now + 100);
    assert.ok(
      laterTerm.fencedUntil >= tasksEndAt,
      `${node}, asked: may run until ${tasksEndAt}, fenced until ${laterTerm.fencedUntil}`,
    );
  }
});

test('an acquisition that was carried out in time is valid, however long the reads after it take', () => {
  const clusterState = new Store();
  const acquireAndRead = (node: string, now: number): OwnershipTerm => {
    const ownership = ownershipOf(node);
    const attempt = decideToAcquire(ownership, clusterState, 1, now);
    const readAt = now + 10 * clusterConfig.heartbeatIntervalMs;
    const version = clusterState.run(attempt.transaction, () => true);
    const ownershipTerm = ownership.acquired(attempt, version, now + 100, readAt, START_WALL_MS + readAt);
    assert.ok(ownershipTerm !== null, node);
    return ownershipTerm;
  };
  acquireAndRead('a', 0);
  clusterState.dropLease(1);
  const second = acquireAndRead('b', 1000);
  assert.ok(second.fencedUntil >= 1000 + 100 + maxAnswerContactAgeMs(clusterConfig) + clusterConfig.workerLeaseMs);
});

// Guards against an owner that does not check the owner record during a resumption, and so answers workers for as long
// as it can read, although each read shows the next owner.
test('a resuming owner ends its term as soon as a view shows another owner', () => {
  const clusterState = new Store();
  const first = ownershipOf('a');
  const ownershipTerm = acquire(first, clusterState, 1, 0);
  clusterState.dropLease(1);
  const decision = first.decide(clusterState.view('0'), 2, 1000, START_WALL_MS + 1000);
  assert.equal(decision.kind, 'resume');
  assert.ok(ownershipTerm.isCurrent);
  acquire(ownershipOf('b'), clusterState, 3, 1000);
  assert.equal(first.decide(clusterState.view('0'), 2, 2000, START_WALL_MS + 2000).kind, 'lost');
  assert.ok(!ownershipTerm.isCurrent);
  assert.equal(first.ownershipTerm, null);
});

// Guards against applying the late outcome of a resumption to the attempt under way: an acquisition begun since would
// be given up although it was carried out, or become valid under a term other than that of its record.
test('the outcome of a resumption that arrives during a later acquisition does not affect that acquisition', () => {
  const clusterState = new Store();
  const first = ownershipOf('a');
  acquire(first, clusterState, 1, 0);
  clusterState.dropLease(1);
  const resumption = first.decide(clusterState.view('0'), 2, 1000, START_WALL_MS + 1000);
  assert.ok(resumption.kind === 'resume');
  const otherTerm = acquire(ownershipOf('b'), clusterState, 3, 1000);
  assert.equal(first.renounceBefore(otherTerm.term), resumption.ownershipTerm);
  clusterState.dropLease(3);
  const now = 1000 + acquisitionBoundMs(clusterConfig);
  const acquisition = decideToAcquire(first, clusterState, 2, now);
  assert.equal(first.failed(resumption), false);
  assert.equal(first.resumed(resumption), false);
  assert.equal(first.state, 'acquiring');
  const version = clusterState.run(acquisition.transaction, () => true);
  const ownershipTerm = first.acquired(acquisition, version, now, now, START_WALL_MS + now);
  assert.equal(ownershipTerm?.term, clusterState.view('0').owner?.record.term);
  assert.ok(!resumption.ownershipTerm.isCurrent);
});

// Guards against a controller that answers that it does not own the partition while its own acquisition waits for a
// read, and then becomes the owner by that acquisition.
test('an acquisition under way is given up for good when a later owner queries the ownership', () => {
  const clusterState = new Store();
  const first = ownershipOf('a');
  const attempt = decideToAcquire(first, clusterState, 1, 0);
  const version = clusterState.run(attempt.transaction, () => true);
  clusterState.dropLease(1);
  const later = acquire(ownershipOf('b'), clusterState, 2, 1000);
  assert.equal(first.renounceBefore(later.term), null);
  assert.equal(first.acquired(attempt, version, 1500, 1500, START_WALL_MS + 1500), null);
  assert.equal(first.ownershipTerm, null);
  // A query of an earlier owner does not end an acquisition.
  clusterState.dropLease(2);
  const next = decideToAcquire(first, clusterState, 3, 10_000);
  first.renounceBefore(later.term);
  assert.ok(first.isPending(next));
});
