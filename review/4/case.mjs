// A deployment that has run for nine days: the state service holds the records of all jobs that have ended, as the
// controllers wrote them. All controllers have just crashed and come back.
import { CouldNotRun, hasTrouble, runCase } from '../lib-2/case.mjs';
import { AMMAN, sleep } from '../lib-2/deployment.mjs';

/** The arrivals of the brief's page for Amman: 1 + 6.8 + 3.8 + 11 jobs a minute. */
const JOBS_PER_MINUTE = 22.6;
const DAYS = hasTrouble ? 9.2 : 0.1;
const BACK_AFTER_MS = 4000;
/** PROTOCOL: "a job about which no question is answered for 75 s counts as forgotten". */
const FORGOTTEN_MS = 75_000;
const POLL_EVERY_MS = 2500;

void runCase({}, async (deployment) => {
  const { store, nodes, controllers } = deployment;
  const ended = Math.round(DAYS * 24 * 60 * JOBS_PER_MINUTE);
  // The records of a deployment of three controllers, as this project writes them: its settings, and ended jobs.
  store.preset('g/meta', { v: 1, parts: 3, page: 49_152, z: AMMAN.zones });
  for (let number = 0; number < ended; number++) store.preset(`g/j/${idOf(number)}`, { f: 'd' });
  deployment.record(`state service holds ${ended} jobs that are done`);

  let ends = 0;
  nodes.onEnd = (name) => {
    ends++;
    void sleep(BACK_AFTER_MS).then(() => nodes.start(name));
  };
  await deployment.start();
  const asked = [0, Math.floor(ended / 2), ended - 1].map(idOf);
  const answeredAt = new Map(asked.map((id) => [id, deployment.now]));
  const startedAt = deployment.now;
  let answers = 0;
  for (let turn = 0; deployment.now - startedAt < FORGOTTEN_MS + 2 * POLL_EVERY_MS; turn++) {
    const controller = controllers[turn % controllers.length];
    for (const id of asked) {
      const { status, body } = await deployment.poll(controller, id);
      deployment.record(`user: asks ${controller} for ${id}: ${status} ${JSON.stringify(body)}`);
      if (status === 404) deployment.breakRule(`forgotten: ${id}, which was done, gets 404`);
      if (status !== 200) continue;
      answers++;
      answeredAt.set(id, deployment.now);
      if (body.status !== 'done') deployment.breakRule(`went_back: ${id}, which was done, is called ${body.status}`);
    }
    for (const [id, at] of answeredAt) {
      if (deployment.now - at <= FORGOTTEN_MS) continue;
      deployment.breakRule(`forgotten: no question about ${id} was answered for 75 s`);
      answeredAt.set(id, deployment.now);
    }
    if (!hasTrouble && turn > 8) break;
    await sleep(POLL_EVERY_MS);
  }
  deployment.record(`${answers} answers; controllers ended by themselves ${ends} times`);
  if (!hasTrouble && answers === 0) throw new CouldNotRun('no answer without the disruption');
});

function idOf(number) {
  return `j-${String(number).padStart(6, '0')}`;
}
