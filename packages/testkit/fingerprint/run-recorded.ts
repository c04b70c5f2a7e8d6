// Runs one fixed scenario and records it.
import { runScenario, World } from '../src/index';
import type { FixedScenario } from './scenarios';
import { type Fingerprint, type LineSink, Recorder } from './recorder';

/** Runs the scenario to its end; `dump` receives every hashed line. */
export async function runRecorded(scenario: FixedScenario, dump: LineSink): Promise<Fingerprint> {
  const { seed, forMs, faults, switched } = scenario;
  const world = new World({ ...scenario.world, seed });
  const recorder = new Recorder(world, dump);
  if (switched !== undefined) {
    world.sim.after(switched.at, () => {
      for (const name of world.controllers) world.crash(name);
      world.switchFeatures(switched.features);
      for (const name of world.controllers) world.startNode(name);
    });
  }
  await runScenario(world, { seed, forMs, faults });
  return recorder.finish();
}
