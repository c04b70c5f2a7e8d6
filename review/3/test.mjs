// A pipeline whose last job has a deadline: is any question answered afterwards?
import { performance } from 'node:perf_hooks';
import { fileURLToPath } from 'node:url';
import { jobOf, runCase, TEAM } from '../lib/deployment.mjs';
import { sleep } from '../lib/wire.mjs';

/** The rule's bound: an accepted job about which no question is answered for this long counts as forgotten. */
const UNANSWERED_S = 75;
/** Stages of the pipeline, jobs in each, and the estimates of a stage's jobs, in seconds. */
const STAGES = 26;
const JOBS_PER_STAGE = 4;
const SHORT_S = 1;
const longS = (stage) => SHORT_S + 2 ** stage / 1000;

const idOf = (number) => `j-${String(number).padStart(6, '0')}`;
const SERVICE = idOf(1);

/** The jobs of the pipeline in the order of their submission. Each job needs all jobs of the stage before its own. */
function pipeline(isTroubled) {
  const jobs = [];
  let before = [];
  for (let stage = 0; stage < STAGES; stage++) {
    const first = 100 + stage * JOBS_PER_STAGE;
    const ids = Array.from({ length: JOBS_PER_STAGE }, (_, i) => idOf(first + i));
    for (const [i, name_id] of ids.entries()) {
      const guess_s = i === 0 ? longS(stage) : SHORT_S;
      jobs.push(jobOf({ name_id, urgency: 'low', cores: 1, accelerators: 0, guess_s, awaits: before }));
    }
    before = ids;
  }
  const due = isTroubled ? { due_s: 3 * 24 * 3600 } : { due_s: null };
  jobs.push(jobOf({ name_id: idOf(900), urgency: 'high', cores: 1, accelerators: 0, awaits: before, ...due }));
  return jobs;
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (deployment, isTroubled) => {
  await deployment.start({ machines: 3, teams: [TEAM] });
  if (!(await deployment.untilUp(15_000))) throw new Error('the controllers did not come up');
  const service = jobOf({ name_id: SERVICE, shape: 'daemon', urgency: 'production', parcels: 3, accelerators: 8 });
  const status = await deployment.submit({ ...service, guess_s: 0 });
  if (status !== 201 && status !== 200) throw new Error(`the service was not accepted: ${status}`);
  while (deployment.workers.flatMap((worker) => worker.running).length < 3) await sleep(200);
  deployment.record('all replicas of the service run');

  const jobs = pipeline(isTroubled);
  const last = jobs.pop();
  for (const job of jobs) {
    const answer = await deployment.submit(job);
    if (answer !== 201 && answer !== 200) throw new Error(`a job of the pipeline was not accepted: ${answer}`);
  }
  deployment.record(`${jobs.length} jobs of the pipeline are accepted; the last one follows, due_s ${last.due_s}`);
  void deployment.submit(last);
  await sleep(2000);

  let answeredAt = performance.now();
  let longestS = 0;
  const until = performance.now() + (UNANSWERED_S + 5) * 1000;
  while (performance.now() < until) {
    const answers = await Promise.all(deployment.nodes.map((node) => deployment.poll(SERVICE, node)));
    const now = performance.now();
    if (answers.some((answer) => answer.status === 200)) answeredAt = now;
    longestS = Math.max(longestS, (now - answeredAt) / 1000);
    await sleep(500);
  }
  const lost = deployment.workers.reduce((sum, worker) => sum + worker.counts.sessionsLost, 0);
  const why = `no question about ${SERVICE} was answered for ${longestS.toFixed(1)} s; worker leases lost: ${lost}`;
  return { broken: longestS >= UNANSWERED_S, why };
});
