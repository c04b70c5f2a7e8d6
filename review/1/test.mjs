// Guests submit huge arrays of tasks that have to wait for room: is any question answered afterwards?
import { performance } from 'node:perf_hooks';
import { fileURLToPath } from 'node:url';
import { jobOf, runCase, TEAM } from '../lib/deployment.mjs';
import { sleep } from '../lib/wire.mjs';

/** The rule's bound: an accepted job about which no question is answered for this long counts as forgotten. */
const UNANSWERED_S = 75;
/** How long the controllers are asked: they fail one after the other, each once it leads. */
const WATCH_S = 105;
const ARRAYS = 6;
/** Tasks of an array: the most that PROTOCOL allows, and without the disruption as many as the usual arrays have. */
const HUGE_TASKS = 100_000;
const USUAL_TASKS = 48;

const SERVICE = 'j-000001';
/** A team without guarantee and limit, as on the days with guests. */
const GUESTS = { name: 'souq-guests', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 };

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (deployment, isTroubled) => {
  await deployment.start({ machines: 3, teams: [TEAM, GUESTS] });
  if (!(await deployment.untilUp(15_000))) throw new Error('the controllers did not come up');
  const service = jobOf({ name_id: SERVICE, shape: 'daemon', urgency: 'production', parcels: 3, accelerators: 8 });
  const status = await deployment.submit({ ...service, guess_s: 0 });
  if (status !== 201 && status !== 200) throw new Error(`the service was not accepted: ${status}`);
  while (deployment.workers.flatMap((worker) => worker.running).length < 3) await sleep(200);
  deployment.record('all replicas of the service run');

  const guest = { lane: 'census-sweep', crew: GUESTS.name, urgency: 'low', cores: 8, accelerators: 0, borrowed: true };
  const parcels = isTroubled ? HUGE_TASKS : USUAL_TASKS;
  const arrays = Array.from({ length: ARRAYS }, (_, i) => jobOf({ name_id: `j-00010${i}`, parcels, ...guest }));
  const answers = await Promise.all(arrays.map((job) => deployment.submit(job)));
  deployment.record(`answers to the arrays: ${answers.join(', ')}`);
  if (answers.some((answer) => answer !== 200 && answer !== 201)) throw new Error('an array was not accepted');

  let answeredAt = performance.now();
  let longestS = 0;
  const until = answeredAt + WATCH_S * 1000;
  while (longestS < UNANSWERED_S && performance.now() < until) {
    const polled = await Promise.all(deployment.nodes.map((node) => deployment.poll(SERVICE, node)));
    const now = performance.now();
    if (polled.some((answer) => answer.status === 200)) answeredAt = now;
    longestS = Math.max(longestS, (now - answeredAt) / 1000);
    await sleep(400);
  }
  const lost = deployment.workers.reduce((sum, worker) => sum + worker.counts.sessionsLost, 0);
  const why = `no question about ${SERVICE} was answered for ${longestS.toFixed(1)} s; worker leases lost: ${lost}`;
  return { broken: longestS >= UNANSWERED_S, why };
});
