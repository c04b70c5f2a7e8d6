// Arrays of small tasks come three times as often as usual, and one machine has room for more tasks than its worker can
// list in a report of 64 KiB.
import { CouldNotRun, hasTrouble, runCase } from '../lib-2/case.mjs';
import { jobOf, sleep, TANNOUR } from '../lib-2/deployment.mjs';

/** `job_burst` with `factor = 3.0` in the site files. */
const ARRAYS = hasTrouble ? 3 : 1;
const TASKS = 900;
const RUN_S = 5;
/** PROTOCOL: a user expects `done` from 3 s after the last task of the job has completed. */
const DONE_LAG_MS = 3000;
/** Beyond that, the case waits for more than four worker leases. */
const PATIENCE_MS = 60_000;
const LIMIT_BYTES = 64 * 1024;

const teams = [{ name: 'bakehouse-00', cpus: 0, cpus_max: 0, gpus: 200, gpus_max: 2500 }];

void runCase({ site: TANNOUR, teams }, async (deployment) => {
  await deployment.start({ machines: [{ zone: 'salt-central' }] });
  if (!(await deployment.allUp(15_000))) throw new CouldNotRun('controllers are not up');
  const [worker] = deployment.workersByName.values();
  worker.onReport = (report) => {
    const bytes = JSON.stringify(report).length;
    if (report.parcels.length > 1)
      deployment.record(`${worker.name} reports ${report.parcels.length} tasks, ${bytes} bytes of JSON`);
  };
  worker.onAnswer = ({ status, body, jsonBytes }) => {
    if (status !== 200) deployment.record(`${worker.name} is answered with ${status}`);
    else if (body.orders.length > 0)
      deployment.record(`${worker.name} is answered with ${body.orders.length} commands, ${jsonBytes} bytes of JSON`);
    if (jsonBytes > LIMIT_BYTES) deployment.record(`${worker.name}: the answer is longer than 64 KiB`);
  };

  const crew = 'bakehouse-00';
  const service = jobOf('j-000001', { crew, lane: 'karak-grand', shape: 'daemon', urgency: 'production', guess_s: 0 });
  await deployment.submit({ ...service, cores: 16, accelerators: 2, memory_gb: 50 });
  const isServing = () => (deployment.on.get('j-000001/0')?.size ?? 0) > 0;
  if (!(await deployment.until(isServing, 15_000))) throw new CouldNotRun('the service does not run');

  const small = {
    crew,
    lane: 'ajloun-batch',
    parcels: TASKS,
    cores: 0.05,
    accelerators: 0,
    memory_gb: 0.1,
    guess_s: RUN_S,
  };
  const arrays = Array.from({ length: ARRAYS }, (_, index) => jobOf(`j-00001${index}`, { ...small, crate: 'img-02' }));
  for (const array of arrays) await deployment.submit(array);

  // Without the fault all tasks are done after two rounds at the most, since the machine has room for 1,600 of them.
  const called = new Map();
  const poll = async () => {
    for (const { name_id: id } of arrays) {
      const { status, body } = await deployment.poll(deployment.controllers[0], id);
      if (status === 200 && called.get(id) !== body.status) {
        deployment.record(`user: ${id} is called ${body.status}`);
        called.set(id, body.status);
      }
    }
    return arrays.every(({ name_id: id }) => called.get(id) === 'done');
  };
  const completed = ({ name_id: id }) =>
    Array.from({ length: TASKS }, (_, index) => `${id}/${index}`).filter((task) => deployment.done.has(task)).length;
  const until = deployment.now + PATIENCE_MS + RUN_S * 1000 * 2 + DONE_LAG_MS;
  while (deployment.now < until && !(await poll())) await sleep(1000);
  const serviceEnds = deployment.events.filter(({ kind, task }) => kind === 'end' && task === 'j-000001/0').length;
  deployment.record(`the replica of the service was killed ${serviceEnds} times`);
  for (const array of arrays) {
    const { name_id: id } = array;
    deployment.record(`${id}: ${completed(array)} of ${TASKS} tasks have completed on the machine`);
    if (called.get(id) !== 'done')
      deployment.breakRule(
        `accepted job must run: ${id} is called ${called.get(id)}, ${PATIENCE_MS / 1000} s too late`,
      );
  }
});
