// An array of many small tasks beside a service: do the machines' reports still get through?
import { fileURLToPath } from 'node:url';
import { jobOf, runCase, TEAM } from '../lib/deployment.mjs';
import { sleep } from '../lib/wire.mjs';

const MACHINES = 3;
const WATCH_S = 80;
/** Limit of requests and of responses to workers, in bytes of their JSON form (PROTOCOL). */
const MAX_JSON_BYTES = 64 * 1024;

const PARCELS = 6000;
/** What a task of the array takes of a machine with 48 cores; without the disruption as much as the guests' jobs take. */
const SMALL_CORES = 0.025;
const GUEST_CORES = 0.25;

const SERVICE = 'j-000001';
const ARRAY = 'j-000002';

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (deployment, isTroubled) => {
  await deployment.start({ machines: MACHINES, team: TEAM });
  if (!(await deployment.untilUp(15_000))) throw new Error('the controllers did not come up');
  const service = jobOf({ name_id: SERVICE, shape: 'daemon', urgency: 'production', parcels: MACHINES, guess_s: 0 });
  const accepted = await deployment.submit({ ...service, accelerators: 8 });
  if (accepted !== 201 && accepted !== 200) throw new Error(`the service was not accepted: ${accepted}`);
  while (deployment.workers.flatMap((worker) => worker.running).length < MACHINES) await sleep(200);
  deployment.record('all replicas of the service run');

  const cores = isTroubled ? SMALL_CORES : GUEST_CORES;
  const array = { parcels: PARCELS, cores, accelerators: 0, memory_gb: 0.1, guess_s: 30, urgency: 'low' };
  const status = await deployment.submit(jobOf({ name_id: ARRAY, ...array }));
  if (status !== 201 && status !== 200) throw new Error(`the array was not accepted: ${status}`);
  for (let i = 0; i < WATCH_S; i += 2) {
    await sleep(2000);
    await deployment.poll(ARRAY, deployment.nodes[(i / 2) % deployment.nodes.length]);
    await deployment.poll(SERVICE, deployment.nodes[(i / 2) % deployment.nodes.length]);
    for (const { name, counts } of deployment.workers) deployment.record(`${name}: ${JSON.stringify(counts)}`);
  }
  const all = deployment.workers.map(({ counts }) => counts);
  const largest = Math.max(...all.map(({ largestAnswerJsonBytes }) => largestAnswerJsonBytes));
  const lost = all.reduce((sum, counts) => sum + counts.sessionsLost, 0);
  const killed = deployment.killedTasks.filter((task) => task.startsWith(`${SERVICE}/`)).length;
  const why = `largest answer ${largest} bytes, worker leases lost: ${lost}, replicas killed: ${killed}`;
  return { broken: largest > MAX_JSON_BYTES && killed > 0, why };
});
