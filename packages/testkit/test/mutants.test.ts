// Breaks the code on purpose, once for each invariant: a check that can't fail would prove nothing.
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

for (const [rule, { broken, apply, faults: own = [], options, forMs = 90_000 }] of Object.entries(mutants)) {
  test(`the check of ${rule} fails when ${broken}`, async () => {
    const seen = new Set<Invariant>();
    // What a mutant breaks takes its moment: it shows on one of a few days.
    for (const seed of [11, 12, 13, 14]) {
      let world: World | null = null;
      let restore = (): void => undefined;
      // Some break the classes before controllers start, some the controllers once they have.
      const late = rule === 'quota' || rule === 'went_back' || rule === 'refused';
      if (!late) restore = apply(() => world!);
      try {
        world = new World({
          seed,
          gpusMax: rule === 'quota' ? 3 : 10,
          ...options,
          ...(rule === 'refused' ? { nextLimits: { valueKb: 2, txnOps: 4, writesPerS: 70 }, load: 3 } : {}),
        });
        if (late) restore = apply(() => world!);
        // Machines that can't be heard for a while go on running what they run.
        const mute = [0, 1, 2, 3, 4, 5].map((machine) => ({
          at: 15_000 + machine * 4000,
          fault: { kind: 'mute machines' as const, machine, count: 1, how: 'lose' as const, forMs: 4500 },
        }));
        const faults = [...mute, ...own.map((fault) => ({ at: 12_000, fault }))];
        await runScenario(world, { seed, forMs, faults });
        for (const b of world.violations) seen.add(b.rule);
      } finally {
        restore();
      }
      if (seen.has(rule as Invariant)) return;
    }
    assert.fail(`seen: ${[...seen].join()}`);
  });
}

test('the check of ran_cancelled sees a task on a machine that hangs', async () => {
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
      world.violations.some((b) => b.rule === 'ran_cancelled' && b.detail.endsWith('which hangs')),
      `seen: ${world.violations.map((b) => b.detail).join()}`,
    );
  } finally {
    restore();
  }
});

test('close looks see an older answer when a controller answers without having read', async () => {
  const restore = patch(
    WatchCache.prototype,
    'linearizableRead',
    () =>
      function (this: WatchCache) {
        return new Promise<void>((resolve) => this.options.clock.after(1, resolve));
      },
  );
  try {
    const rules = new Set<Invariant>();
    for (const seed of [1, 2, 3]) {
      const world = new World({ seed, controllers: 5 });
      await runScenario(world, {
        seed,
        forMs: 60_000,
        faults: [{ at: 0, fault: { kind: 'close looks', forMs: 60_000 } }],
      });
      for (const b of world.violations) rules.add(b.rule);
    }
    // A job that was accepted is not known yet, one that was called cancelled or done still runs.
    assert.deepEqual([...rules].sort(), ['forgotten', 'went_back']);
  } finally {
    restore();
  }
});
