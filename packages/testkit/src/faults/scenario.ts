// A scenario is some minutes of a simulated deployment: users who come and go, and faults at given times.
import type { World } from '../simulation/world';
import { type Fault, faultDurationMs, injectFault } from './faults';

/** What happens in a scenario; the same seed and faults give the same scenario. */
export interface Scenario {
  readonly seed: number;
  readonly forMs: number;
  readonly faults: readonly { readonly at: number; readonly fault: Fault }[];
}

/** When the first user submits a job. */
const FIRST_ARRIVAL_MS = 2000;

/** How often someone asks for a job that nobody has submitted. */
const STRANGER_INTERVAL_MS = 7000;

/** How often the invariants are checked that only time can show. */
const AUDIT_INTERVAL_MS = 200;

/** Runs a scenario to its end: users come and go for its first half, faults begin at their times. */
export async function runScenario(world: World, scenario: Scenario): Promise<void> {
  const { sim } = world;
  sim.after(FIRST_ARRIVAL_MS, () => submitUntil(world, scenario.forMs / 2));
  askAsStranger(world);
  const ends = scenario.faults.map(({ at, fault }) => at + faultDurationMs(fault, world.nodes.length));
  world.quietAt = Math.max(0, ...ends);
  auditRepeatedly(world);
  for (const { at, fault } of scenario.faults) sim.after(at, () => injectFault(world, fault));
  await sim.run(scenario.forMs);
}

/** Jobs arrive one after the other until then; some are cancelled after a while. */
function submitUntil(world: World, endAt: number): void {
  const { sim } = world;
  if (sim.now > endAt) return;
  const spec = world.randomJob();
  void world.users.live(spec, cancelAfterMs(world, spec.kind));
  sim.after((1000 + sim.random() * 4000) / (world.options.load ?? 1), () => submitUntil(world, endAt));
}

/**
 * A service is cancelled at some time, as it ends by nothing else; an array now and then. Null: it is not cancelled.
 */
function cancelAfterMs({ sim }: World, kind: 'array' | 'service'): number | null {
  if (kind === 'service') return 5000 + sim.random() * 30_000;
  return sim.random() < 0.3 ? sim.random() * 12_000 : null;
}

function askAsStranger(world: World): void {
  void world.users.stranger();
  world.sim.after(STRANGER_INTERVAL_MS, () => askAsStranger(world));
}

function auditRepeatedly(world: World): void {
  world.audit();
  world.sim.after(AUDIT_INTERVAL_MS, () => auditRepeatedly(world));
}
