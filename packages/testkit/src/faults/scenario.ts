// Runs scenarios: some minutes of a simulated deployment, with user load and with faults at given times.
import type { World } from '../simulation/world';
import { type Fault, faultDurationMs, injectFault } from './faults';

/** Defines a scenario. The same seed and faults reproduce the same run. */
export interface Scenario {
  readonly seed: number;
  readonly forMs: number;
  readonly faults: readonly { readonly at: number; readonly fault: Fault }[];
}

/** When the first user submits a job. */
const FIRST_ARRIVAL_MS = 2000;

/** The interval between status requests for jobs that nobody has submitted. */
const UNKNOWN_JOB_INTERVAL_MS = 7000;

/** The interval of the periodic audits. */
const AUDIT_INTERVAL_MS = 200;

/** Runs a scenario to its end: users submit jobs during the first half, and faults start at their times. */
export async function runScenario(world: World, scenario: Scenario): Promise<void> {
  const { sim } = world;
  sim.after(FIRST_ARRIVAL_MS, () => submitUntil(world, scenario.forMs / 2));
  requestUnknownJobs(world);
  const ends = scenario.faults.map(({ at, fault }) => at + faultDurationMs(fault, world.nodes.length));
  world.quietAt = Math.max(0, ...ends);
  auditRepeatedly(world);
  for (const { at, fault } of scenario.faults) sim.after(at, () => injectFault(world, fault));
  await sim.run(scenario.forMs);
}

/** Submits random jobs at random intervals until `endAt`; some are cancelled later. */
function submitUntil(world: World, endAt: number): void {
  const { sim } = world;
  if (sim.now > endAt) return;
  const spec = world.randomJob();
  void world.users.submitAndFollow(spec, cancelAfterMs(world, spec.kind));
  sim.after((1000 + sim.random() * 4000) / (world.options.load ?? 1), () => submitUntil(world, endAt));
}

/** The time until the user cancels the job; null for no cancellation. All services are cancelled, as they never end. */
function cancelAfterMs({ sim }: World, kind: 'array' | 'service'): number | null {
  if (kind === 'service') return 5000 + sim.random() * 30_000;
  return sim.random() < 0.3 ? sim.random() * 12_000 : null;
}

function requestUnknownJobs(world: World): void {
  void world.users.pollUnknownJob();
  world.sim.after(UNKNOWN_JOB_INTERVAL_MS, () => requestUnknownJobs(world));
}

function auditRepeatedly(world: World): void {
  world.audit();
  world.sim.after(AUDIT_INTERVAL_MS, () => auditRepeatedly(world));
}
