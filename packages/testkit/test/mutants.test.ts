// Runs one mutant, code broken on purpose, for each invariant, to show that its check can fail.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { WatchCache } from '@gingerlock/clients';
import { runScenario, type Invariant, World } from '../src/index';
import { BORROWING_MUTANTS } from './support/borrowing-mutants';
import { GROUP_MUTANTS } from './support/group-mutants';
import { type Mutant, patch } from './support/mutant';
import { OPERATIONS_MUTANTS } from './support/operations-mutants';
import { dropStops } from './support/patches';
import { PLACEMENT_MUTANTS } from './support/placement-mutants';
import { USER_MUTANTS } from './support/user-mutants';

const mutants: Record<Invariant, Mutant> = {
  ...GROUP_MUTANTS,
  ...BORROWING_MUTANTS,
  ...PLACEMENT_MUTANTS,
  ...USER_MUTANTS,
  ...OPERATIONS_MUTANTS,
};

for (const [rule, { broken, apply, faults: extraFaults = [], options, forMs = 90_000 }] of Object.entries(mutants)) {
  test(`the check of ${rule} fails when ${broken}`, async () => {
    const violated = new Set<Invariant>();
    // A mutant need not violate its invariant with every seed.
    for (const seed of [11, 12, 13, 14]) {
      let world: World | null = null;
      let restore = (): void => undefined;
      // Most mutants change classes before the controllers start; these three change the controllers after it.
      const appliesAfterStart = rule === 'quota' || rule === 'went_back' || rule === 'refused';
      if (!appliesAfterStart) restore = apply(() => world!);
      try {
        world = new World({
          seed,
          gpusMax: rule === 'quota' ? 3 : 10,
          ...options,
          ...(rule === 'refused' ? { nextLimits: { valueKb: 2, txnOps: 4, writesPerS: 70 }, load: 3 } : {}),
        });
        if (appliesAfterStart) restore = apply(() => world!);
        // Machines whose messages are lost for a while keep running their tasks.
        const muteFaults = [0, 1, 2, 3, 4, 5].map((machine) => ({
          at: 15_000 + machine * 4000,
          fault: { kind: 'mute machines' as const, machine, count: 1, how: 'lose' as const, forMs: 4500 },
        }));
        const faults = [...muteFaults, ...extraFaults.map((fault) => ({ at: 12_000, fault }))];
        await runScenario(world, { seed, forMs, faults });
        for (const violation of world.violations) violated.add(violation.rule);
      } finally {
        restore();
      }
      if (violated.has(rule as Invariant)) return;
    }
    assert.fail(`violated: ${[...violated].join()}`);
  });
}

test('the check of ran_cancelled finds a task on a machine that hangs', async () => {
  const restore = dropStops();
  try {
    const world = new World({ seed: 12, jobs: { kind: 'service', spot: false } });
    const hang = { kind: 'machines hang' as const, machine: 0, count: 24, forMs: world.workerLeaseMs * 0.9 };
    const faults = [
      { at: 15_000, fault: { kind: 'cancel now' as const, count: 8, hangMs: world.workerLeaseMs * 0.9 } },
      { at: 15_000 + world.cancellationBoundMs - 2000, fault: hang },
    ];
    await runScenario(world, { seed: 12, forMs: 50_000, faults });
    assert.ok(
      world.violations.some(
        (violation) => violation.rule === 'ran_cancelled' && violation.detail.endsWith('which hangs'),
      ),
      `violations: ${world.violations.map((violation) => violation.detail).join()}`,
    );
  } finally {
    restore();
  }
});

test('frequent polls find a stale answer when controllers answer without a linearizable read', async () => {
  const restore = patch(
    WatchCache.prototype,
    'linearizableRead',
    () =>
      function (this: WatchCache) {
        return new Promise<void>((resolve) => this.options.clock.after(1, resolve));
      },
  );
  try {
    const violated = new Set<Invariant>();
    for (const seed of [1, 2, 3]) {
      const world = new World({ seed, controllers: 5 });
      await runScenario(world, {
        seed,
        forMs: 60_000,
        faults: [{ at: 0, fault: { kind: 'close looks', forMs: 60_000 } }],
      });
      for (const violation of world.violations) violated.add(violation.rule);
    }
    // Accepted jobs are reported as unknown, and cancelled or finished jobs as running.
    assert.deepEqual([...violated].sort(), ['forgotten', 'went_back']);
  } finally {
    restore();
  }
});
