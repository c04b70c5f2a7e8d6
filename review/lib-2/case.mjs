// The frame of a case: runs it once, within its time, and ends all that it started.
import { clearTimeout, setTimeout } from 'node:timers';
import { Deployment } from './deployment.mjs';

/** The time of a case, a little below the 120 seconds that a script may take. */
const MAX_MS = 117_000;

/** Whether the case runs with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** A case could not be set up as far as its disruption, so that it says nothing about the rule. */
export class CouldNotRun extends Error {}

/**
 * Runs a case: `body(deployment)` returns once the rule can be judged. Exits with 1 if the deployment has recorded a
 * broken rule, 0 if not, 2 if the case couldn't run.
 */
export async function runCase(options, body) {
  const deployment = new Deployment({
    ...options,
    recordFile: process.argv[2] ?? null,
    logFile: process.env.LOG_FILE ?? null,
  });
  deployment.record(`case begins, ${hasTrouble ? 'with' : 'without'} the disruption`);
  let timer;
  const limit = new Promise((_resolve, reject) => {
    timer = setTimeout(() => reject(new CouldNotRun('out of time')), MAX_MS);
    for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => reject(new CouldNotRun(signal)));
  });
  let status;
  try {
    await Promise.race([body(deployment), limit]);
    status = deployment.broken.length > 0 ? 1 : 0;
  } catch (error) {
    deployment.record(`case could not run: ${error instanceof CouldNotRun ? error.message : error.stack}`);
    status = 2;
  }
  clearTimeout(timer);
  deployment.record(`case ends: ${['the rule held', 'the rule was broken', 'could not run'][status]}`);
  await deployment.stop();
  process.exit(status);
}
