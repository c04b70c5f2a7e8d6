// Plays one of the fixed days with a recorder on it.
import { runScenario, World } from '../src/index';
import type { FixedDay } from './days';
import { type Fingerprint, type LineSink, Recorder } from './recorder';

/** Plays the day to its end; `dump` takes all that is hashed. */
export async function playRecorded(day: FixedDay, dump: LineSink): Promise<Fingerprint> {
  const { seed, forMs, faults, switched } = day;
  const world = new World({ ...day.world, seed });
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
