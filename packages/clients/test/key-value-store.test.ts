import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Sim, SimStateService } from '@gingerlock/testkit';
import { decode, encode, eventsMap, eventsOf } from '@gingerlock/wire';
import fc from 'fast-check';
import {
  RateLimiter,
  OverloadedError,
  WatchCache,
  KeyValueStore,
  type CompareAndSwapResult,
  URGENCY,
  type Urgency,
} from '../src/index';

test('the rate limit holds in every time window, and more urgent requests are admitted first', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(
        fc.record(
          {
            at: fc.integer({ min: 0, max: 4000 }),
            urgency: fc.integer({ min: 0, max: 5 }),
            writes: fc.integer({ min: 0, max: 12 }),
          },
          { noNullPrototype: true },
        ),
        { minLength: 1, maxLength: 80 },
      ),
      async (requests) => {
        const sim = new Sim(1);
        const rateLimiter = new RateLimiter(
          sim.clock(
            0,
            () => 0,
            () => true,
          ),
          10,
          5,
        );
        const sent: { at: number; writes: number }[] = [];
        for (const a of requests) {
          sim.after(a.at, () => {
            void rateLimiter
              .acquire(a.urgency as Urgency, a.writes, 1e9)
              .then(() => sent.push({ at: sim.now, writes: a.writes }));
          });
        }
        await sim.run(600_000);
        assert.equal(sent.length, requests.length);
        for (const [i, first] of sent.entries()) {
          let writes = 0;
          for (let j = i; j < sent.length; j++) {
            writes += sent[j]!.writes;
            const s = (sent[j]!.at - first.at) / 1000;
            assert.ok(j - i + 1 <= 10 + 10 * s + 1.01, 'requests');
            // A transaction larger than the bucket is admitted when the bucket is full, and delays later ones.
            assert.ok(writes <= 5 + 5 * s + 12.01, 'changes');
          }
        }
      },
    ),
    { seed: 391, numRuns: 60 },
  );
  const sim = new Sim(2);
  const rateLimiter = new RateLimiter(
    sim.clock(
      0,
      () => 0,
      () => true,
    ),
    2,
    2,
  );
  const order: string[] = [];
  await rateLimiter.acquire(URGENCY.rest, 0, 1e9);
  for (const name of ['rest', 'finish', 'accept', 'renew'] as const) {
    void rateLimiter.acquire(URGENCY[name], 0, 1e9).then(() => order.push(name));
  }
  const timedOut = assert.rejects(rateLimiter.acquire(URGENCY.rest, 0, 10), OverloadedError);
  await sim.run(10_000);
  await timedOut;
  assert.deepEqual(order, ['renew', 'accept', 'finish', 'rest']);
});

function watchCacheOf(
  sim: Sim,
  service: SimStateService,
): { watchCache: WatchCache; seen: Map<string, unknown>; keyValueStore: KeyValueStore } {
  const clock = sim.clock(
    0,
    () => 0,
    () => true,
  );
  const http = (
    _addr: string,
    method: string,
    path: string,
    body: Buffer | null,
  ): Promise<{ status: number; body: Buffer }> =>
    new Promise((resolve) => {
      sim.after(5, () => {
        const answer = service.handle(method, path, body ?? Buffer.alloc(0), 'n');
        sim.after(5, () => resolve(answer));
      });
    });
  const keyValueStore = new KeyValueStore({
    http,
    addr: 's',
    rateLimiter: new RateLimiter(clock, 1000, 1000),
    clock,
    timeoutMs: 1000,
  });
  const seen = new Map<string, unknown>();
  const watchCache = new WatchCache({
    keyValueStore,
    clock,
    prefix: 'g/',
    minIntervalMs: 50,
    idleIntervalMs: 500,
    onChange: (key, value) => {
      if (value === undefined) seen.delete(key);
      else seen.set(key, value);
    },
    onError: () => undefined,
  });
  return { watchCache, seen, keyValueStore };
}

test('a linearizable read returns every change that was made before the call', async () => {
  const sim = new Sim(3);
  const service = new SimStateService(sim);
  const { watchCache, seen, keyValueStore } = watchCacheOf(sim, service);
  watchCache.start();
  await sim.run(1000);
  let valueRead: unknown = 'not yet';
  // Another controller writes while a read of this one is under way; the linearizable read starts right after.
  sim.after(0, () => {
    void keyValueStore.compareAndSwap(URGENCY.accept, [], [{ put: 'g/x', value: { a: 1 } }]).then(async () => {
      await watchCache.linearizableRead();
      valueRead = seen.get('g/x');
    });
  });
  await sim.run(1200);
  assert.deepEqual(valueRead, { a: 1 });
  // The store has dropped the events: all keys are read again, and removed keys leave the copy.
  void keyValueStore.compareAndSwap(URGENCY.accept, [], [{ remove: 'g/x' }, { put: 'g/y', value: 2 }]);
  sim.after(20, () => service.dropEvents());
  await sim.run(4000);
  assert.deepEqual([...seen], [['g/y', 2]]);
  watchCache.stop();
});

test('the number of reads depends on the elapsed time and not on the number of waiting callers and hints', async () => {
  const reads = async (polls: number): Promise<number> => {
    const sim = new Sim(5);
    const service = new SimStateService(sim);
    const { watchCache } = watchCacheOf(sim, service);
    watchCache.start();
    await sim.run(1000);
    const before = service.requests;
    let answered = 0;
    for (let i = 0; i < polls; i++) {
      sim.after((i * 1000) / polls, () => {
        watchCache.hint(watchCache.revision + 1 + i);
        void watchCache.linearizableRead().then(() => answered++);
      });
    }
    await sim.run(2200);
    watchCache.stop();
    assert.equal(answered, polls);
    return service.requests - before;
  };
  const few = await reads(100);
  assert.ok(few > 0);
  assert.ok((await reads(5000)) <= few * 1.1);
});

test('a read under way does not undo a removal by this controller', async () => {
  const sim = new Sim(4);
  const service = new SimStateService(sim);
  const { watchCache, seen, keyValueStore } = watchCacheOf(sim, service);
  void keyValueStore.compareAndSwap(URGENCY.accept, [], [{ put: 'g/r', value: 1 }]).then((result) => {
    assert.equal(result.kind, 'done');
    // The read that returns the key begins now; the cache learns of the removal first.
    watchCache.applyOwn([{ remove: 'g/r' }], 5);
  });
  await sim.run(100);
  watchCache.start();
  await sim.run(2000);
  assert.equal(seen.has('g/r'), false);
  watchCache.stop();
});

// The store may return events in any order. A removal must not be undone by an older event that comes after it.
test('events in any order leave each key at its latest change', async () => {
  const sim = new Sim(6);
  const service = new SimStateService(sim);
  const { watchCache, seen, keyValueStore } = watchCacheOf(sim, service);
  const handle = service.handle.bind(service);
  service.handle = (method, path, body, from) => {
    const answer = handle(method, path, body, from);
    if (answer instanceof Promise || answer.status !== 200 || !path.startsWith('/follow')) return answer;
    const { events, revision } = eventsOf(decode(answer.body));
    return { status: 200, body: encode(eventsMap([...events].reverse(), revision)) };
  };
  watchCache.start();
  await sim.run(1000);
  for (const change of [
    { put: 'g/x', value: 1 },
    { remove: 'g/x' },
    { put: 'g/y', value: 1 },
    { put: 'g/y', value: 2 },
  ]) {
    void keyValueStore.compareAndSwap(URGENCY.accept, [], [change]);
  }
  await sim.run(3000);
  assert.deepEqual([...seen], [['g/y', 2]]);
  watchCache.stop();
});

// The answer to a transaction may arrive after a read that showed a later removal of the key. Applying the transaction
// then would bring the key back for good.
test('a change of this controller is not applied after a read showed its key removed', async () => {
  const sim = new Sim(7);
  const service = new SimStateService(sim);
  const { watchCache, seen, keyValueStore } = watchCacheOf(sim, service);
  watchCache.start();
  await sim.run(1000);
  const put = { put: 'g/x', value: 1 };
  const first = await new Promise<CompareAndSwapResult>((resolve) => {
    void keyValueStore.compareAndSwap(URGENCY.accept, [], [put]).then(resolve);
    void sim.run(1100);
  });
  assert.ok(first.kind === 'done');
  void keyValueStore.compareAndSwap(URGENCY.accept, [], [{ remove: 'g/x' }]);
  await sim.run(3000);
  watchCache.applyOwn([put], first.revision);
  await sim.run(5000);
  assert.equal(seen.has('g/x'), false);
  watchCache.stop();
});
