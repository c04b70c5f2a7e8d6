import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Change, HoldRecord, OwnerRecord } from '@gingerlock/wire';
import { holdRecord, KEYS, ownerRecord, termRecord } from '@gingerlock/wire';
import fc from 'fast-check';
import { answerBoundMs, Holding, type SlotView, stateLeaseMs, type Txn } from '../src/index';
import { FACTS } from './fixtures';

const facts = { ...FACTS, controllers: 3 };

/** The least of a state service that the state machine can be run against. */
class Store {
  readonly data = new Map<string, { value: unknown; version: number; lease: number | null }>();
  revision = 0;

  run(txn: Txn, leaseValid: (lease: number) => boolean): number {
    for (const c of txn.changes) if ('put' in c && c.lease !== undefined && !leaseValid(c.lease)) return 0;
    if (txn.conditions.some((c) => (this.data.get(c.key)?.version ?? 0) !== c.version)) return 0;
    this.revision++;
    for (const c of txn.changes) this.#apply(c);
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

  view(slot: string): SlotView {
    const read = <T>(key: string, parse: (v: unknown) => T): { record: T; version: number } | null => {
      const e = this.data.get(key);
      return e === undefined ? null : { record: parse(e.value), version: e.version };
    };
    return {
      owner: read<OwnerRecord>(KEYS.owner(slot), ownerRecord.read),
      hold: read<HoldRecord>(KEYS.hold(slot), holdRecord.read),
      term: read(KEYS.term, termRecord.read),
      timedTerm: read(KEYS.timed(slot), termRecord.read)?.record ?? 0,
    };
  }
}

test('whatever happens, terms only rise, and one controller at most can write as the owner', () => {
  const step = fc.record(
    {
      node: fc.integer({ min: 0, max: 2 }),
      what: fc.constantFrom('decide', 'decide', 'decide', 'restart', 'lose lease', 'late', 'stale', 'release'),
      after: fc.integer({ min: 1, max: 4000 }),
    },
    { noNullPrototype: true },
  );
  fc.assert(
    fc.property(fc.array(step, { minLength: 5, maxLength: 60 }), (steps) => {
      const store = new Store();
      let now = 0;
      let process = 0;
      let nextLease = 1;
      const leases = new Map<number, number>();
      const make = (n: number): Holding =>
        new Holding('0', facts, { node: `n${n}`, process: `p${++process}` }, () => n);
      const nodes = [0, 1, 2].map((n) => ({ holding: make(n), n, oldView: store.view('0') }));
      for (const { n } of nodes) leases.set(n, nextLease++);
      const valid = (lease: number): boolean => [...leases.values()].includes(lease);
      const late: { txn: Txn; lease: number }[] = [];
      let highest = 0;
      for (const s of steps) {
        now += s.after;
        const node = nodes[s.node]!;
        if (s.what === 'restart') {
          // The lease of the dead process lives on for a while: its hold stays, and names this controller.
          node.holding = make(node.n);
          leases.set(node.n, nextLease++);
          continue;
        }
        if (s.what === 'lose lease') {
          const lease = leases.get(node.n)!;
          leases.set(node.n, nextLease++);
          store.dropLease(lease);
          continue;
        }
        if (s.what === 'late') {
          const held = late.shift();
          if (held !== undefined) store.run(held.txn, valid);
          continue;
        }
        if (s.what === 'release') {
          const txn = node.holding.release(store.view('0'));
          if (txn === null) continue;
          assert.ok(!node.holding.owned);
          // Sent twice, or so late that it comes after all else.
          late.push({ txn, lease: leases.get(node.n)! });
          if (s.after % 2 === 0) store.run(txn, valid);
          node.holding.released();
          continue;
        }
        const view = s.what === 'stale' ? node.oldView : store.view('0');
        node.oldView = store.view('0');
        const had = view.owner !== null;
        const decision = node.holding.decide(view, leases.get(node.n)!, now, 1e12 + now);
        if (decision.kind === 'take' || decision.kind === 'resume') {
          // A copy of the request may come once more, later.
          late.push({ txn: decision.txn, lease: leases.get(node.n)! });
          const version = store.run(decision.txn, valid);
          if (version === 0) node.holding.failed();
          else if (decision.kind === 'resume') node.holding.resumed();
          else {
            node.holding.taken(version, had, now, now, 1e12 + now);
            const timing = node.holding.timing();
            if (timing !== null) store.run(timing, valid);
          }
        }
        const owner = store.view('0').owner;
        if (owner !== null) {
          assert.ok(owner.record.term >= highest, 'term went back');
          highest = owner.record.term;
          // A write as owner is conditional on the version of the owner's record.
          const writers = nodes.filter((x) => x.holding.owned && x.holding.version === owner.version);
          assert.ok(writers.length <= 1, 'two writers');
          for (const w of writers) assert.equal(w.holding.term, owner.record.term);
        }
      }
    }),
    { seed: 391, numRuns: 500 },
  );
});

test('an earlier process of this controller leaves its claims for a worker lease, another controller for a cancellation', () => {
  const store = new Store();
  const take = (holding: Holding, now: number): void => {
    const had = store.view('0').owner !== null;
    const decision = holding.decide(store.view('0'), 1, now, 1e12 + now);
    assert.equal(decision.kind, 'take');
    if (decision.kind !== 'take') return;
    assert.ok(
      holding.taken(
        store.run(decision.txn, () => true),
        had,
        now,
        now,
        1e12 + now,
      ),
    );
    const timing = holding.timing();
    if (timing !== null) store.run(timing, () => true);
  };
  const first = new Holding('0', facts, { node: 'a', process: '1' }, () => 0);
  take(first, 0);
  assert.equal(first.fencedUntil, 0);
  const again = new Holding('0', facts, { node: 'a', process: '2' }, () => 0);
  take(again, 1000);
  assert.ok(again.fencedUntil >= 1000 + facts.leaseMs && again.fencedUntil < 1000 + facts.cancelMs);
  store.dropLease(1);
  const other = new Holding('0', facts, { node: 'b', process: '3' }, () => 0);
  take(other, 2000);
  assert.ok(other.fencedUntil >= 2000 + facts.cancelMs);
  // Its restart does not shorten the wait that began with the takeover between controllers.
  const otherAgain = new Holding('0', facts, { node: 'b', process: '4' }, () => 0);
  take(otherAgain, 3000);
  assert.ok(otherAgain.fencedUntil >= 2000 + facts.cancelMs);
});

test('a slot that was given back is cleared after a worker lease, but not before the takeover that preceded it', () => {
  const store = new Store();
  const take = (node: string, lease: number, now: number): Holding => {
    const holding = new Holding('0', facts, { node, process: `${node}${now}` }, () => 0);
    const had = store.view('0').owner !== null;
    const decision = holding.decide(store.view('0'), lease, now, 1e12 + now);
    assert.ok(decision.kind === 'take');
    const version = store.run(decision.txn, () => true);
    assert.ok(holding.taken(version, had, now, now, 1e12 + now));
    const timing = holding.timing();
    if (timing !== null) store.run(timing, () => true);
    return holding;
  };
  const giveBack = (holding: Holding): void => {
    assert.ok(store.run(holding.release(store.view('0'))!, () => true) > 0);
    assert.equal(holding.owned, false);
    assert.equal(holding.release(store.view('0')), null);
  };
  giveBack(take('a', 1, 0));
  const second = take('b', 2, 1000);
  assert.ok(second.fencedUntil >= 1000 + facts.leaseMs && second.fencedUntil < 1000 + facts.cancelMs);
  store.dropLease(2);
  const third = take('c', 3, 2000);
  assert.ok(third.fencedUntil >= 2000 + facts.cancelMs);
  giveBack(third);
  // The one before the last may have gone on until then.
  assert.ok(take('a', 1, 3000).fencedUntil >= 2000 + facts.cancelMs);
});

test('nothing that an owner may have answered runs any more when the next one takes it for gone', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 0, max: 60_000 }),
      fc.integer({ min: 0, max: 900 }),
      fc.integer({ min: -100, max: 100 }),
      fc.boolean(),
      (at, takeMs, skew, restarted) => {
        const store = new Store();
        const take = (node: string, lease: number, now: number, doneAt: number, wallOff = 0): Holding => {
          const holding = new Holding('0', facts, { node, process: `${node}${now}` }, () => 0);
          const had = store.view('0').owner !== null;
          const decision = holding.decide(store.view('0'), lease, now, 1e12 + now + wallOff);
          assert.ok(decision.kind === 'take');
          const version = store.run(decision.txn, () => true);
          assert.ok(holding.taken(version, had, doneAt, doneAt, 1e12 + doneAt + wallOff));
          const timing = holding.timing();
          if (timing !== null) store.run(timing, () => true);
          return holding;
        };
        take('a', 1, 0, 0);
        store.dropLease(1);
        // The takeover may have been carried out, and the owner before may have read, until its answer came.
        let second = take('b', 3, at, at + takeMs);
        if (restarted) second = take('b', 3, at + takeMs + 1000, at + takeMs + 1000, skew);
        const gone = at + takeMs + answerBoundMs(facts) + facts.leaseMs;
        assert.ok(gone <= second.fencedUntil, `may run until ${gone}, cleared at ${second.fencedUntil}`);
      },
    ),
    { seed: 391, numRuns: 1000 },
  );
});

// After a crash in the middle of a cut the wait for a cancellation began anew, though the controller that had crashed was back
// and could say that it owned nothing.
test('an owner before that has given the slot up leaves a worker lease, and the one before it its own time', () => {
  const ttl = stateLeaseMs(facts);
  const span = fc.integer({ min: 0, max: 30_000 });
  fc.assert(
    fc.property(span, span, span, (firstTakenAt, reign, asked) => {
      const store = new Store();
      const take = (node: string, lease: number, now: number): Holding => {
        const holding = new Holding('0', facts, { node, process: `${node}${now}` }, () => 0);
        const had = store.view('0').owner !== null;
        const decision = holding.decide(store.view('0'), lease, now, 1e12 + now);
        assert.ok(decision.kind === 'take');
        assert.ok(
          holding.taken(
            store.run(decision.txn, () => true),
            had,
            now,
            now,
            1e12 + now,
          ),
        );
        const timing = holding.timing();
        if (timing !== null) store.run(timing, () => true);
        return holding;
      };
      take('a', 1, 0);
      store.dropLease(1);
      take('b', 2, firstTakenAt);
      store.dropLease(2);
      const takenAt = firstTakenAt + ttl + reign;
      const third = take('c', 3, takenAt);
      const waiting = third.fencedUntil;
      third.gaveUp('a', takenAt + asked, 1e12 + takenAt + asked);
      assert.equal(third.fencedUntil, waiting, 'it was not the owner before');
      const saidAt = takenAt + asked;
      third.gaveUp('b', saidAt, 1e12 + saidAt);
      const gone = Math.max(saidAt + facts.leaseMs, firstTakenAt + answerBoundMs(facts) + facts.leaseMs);
      assert.ok(third.fencedUntil >= Math.min(waiting, gone), `${third.fencedUntil} before ${gone}`);
      assert.ok(third.fencedUntil <= waiting);
    }),
    { seed: 391, numRuns: 1000 },
  );
});

// A takeover that was carried out long after it had been decided on, as after an outage, left a time that was too early; if its
// process then ended before it had taken the slot once more, the next one counted from that time.
test('a takeover under way for long leaves no time that a later owner counts from, whoever that is', () => {
  const decided = 1000;
  const carriedOut = decided + 60_000;
  for (const next of [
    { node: 'b', process: 'b2' },
    { node: 'c', process: 'c1' },
  ]) {
    const store = new Store();
    const decide = (holding: Holding, now: number): Txn => {
      const decision = holding.decide(store.view('0'), 1, now, 1e12 + now);
      assert.ok(decision.kind === 'take');
      return decision.txn;
    };
    const first = new Holding('0', facts, { node: 'a', process: 'a1' }, () => 0);
    assert.ok(
      first.taken(
        store.run(decide(first, 0), () => true),
        false,
        0,
        0,
        1e12,
      ),
    );
    store.dropLease(1);
    const slow = new Holding('0', facts, { node: 'b', process: 'b1' }, () => 0);
    const version = store.run(decide(slow, decided), () => true);
    assert.equal(slow.taken(version, true, carriedOut, carriedOut, 1e12 + carriedOut), false);
    assert.equal(slow.timing(), null);
    store.dropLease(1);
    const now = carriedOut + 500;
    const after = new Holding('0', facts, next, () => 0);
    const had = true;
    assert.ok(
      after.taken(
        store.run(decide(after, now), () => true),
        had,
        now,
        now,
        1e12 + now,
      ),
    );
    // The first owner may have read for the last time just before the slot was taken from it.
    const gone = carriedOut + answerBoundMs(facts) + facts.leaseMs;
    assert.ok(after.fencedUntil >= gone, `${next.node}: may run until ${gone}, cleared at ${after.fencedUntil}`);
    after.gaveUp('b', now + 100, 1e12 + now + 100);
    assert.ok(after.fencedUntil >= gone, `${next.node}, asked: may run until ${gone}, cleared at ${after.fencedUntil}`);
  }
});

test('a takeover that was carried out in time stands, however long the reading after it takes', () => {
  const store = new Store();
  const take = (node: string, now: number): Holding => {
    const holding = new Holding('0', facts, { node, process: node }, () => 0);
    const had = store.view('0').owner !== null;
    const decision = holding.decide(store.view('0'), 1, now, 1e12 + now);
    assert.ok(decision.kind === 'take');
    const readAt = now + 10 * facts.reportMs;
    const version = store.run(decision.txn, () => true);
    assert.ok(holding.taken(version, had, now + 100, readAt, 1e12 + readAt), node);
    return holding;
  };
  take('a', 0);
  store.dropLease(1);
  const second = take('b', 1000);
  assert.ok(second.fencedUntil >= 1000 + 100 + answerBoundMs(facts) + facts.leaseMs);
});
