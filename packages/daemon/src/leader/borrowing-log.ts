// What the leader logs of borrowing: how each team stands, and for which jobs nothing can be reclaimed and why.
import { borrowed, lent, type Refused, type TeamAccount } from '@gingerlock/borrowing';
import type { Resources } from '@gingerlock/core';
import { guaranteedGpus } from '../settings/features';
import type { ControllerContext } from '../controller/controller-context';

/** Why nothing is reclaimed for a job, and since when that has been the reason. */
interface LoggedRefusal {
  readonly why: Refused['why'];
  readonly since: number;
  isLogged: boolean;
}

/** Logs refusals once they last, and accounts from time to time. */
export class BorrowingLog {
  #refusalsByJob = new Map<string, LoggedRefusal>();
  #accountsLoggedAt = -Infinity;
  #hasLoggedExcess = false;

  constructor(readonly context: ControllerContext) {}

  /** The outcome of one plan of reclaims. */
  record(refused: readonly Refused[], accounts: readonly TeamAccount[], now: number): void {
    this.#recordRefusals(refused, now);
    if (now - this.#accountsLoggedAt < this.context.clusterConfig.workerLeaseMs) return;
    this.#accountsLoggedAt = now;
    for (const account of accounts) this.context.log.info(accountFigures(account), 'team account');
    this.#logExcessGuarantees();
  }

  #recordRefusals(refused: readonly Refused[], now: number): void {
    const before = this.#refusalsByJob;
    this.#refusalsByJob = new Map();
    for (const refusal of refused) {
      const { job, why } = refusal;
      const known = before.get(job.id);
      const entry = known?.why === why ? known : { why, since: now, isLogged: false };
      this.#refusalsByJob.set(job.id, entry);
      // A reason that changes within moments helps nobody.
      if (entry.isLogged || now - entry.since < this.context.clusterConfig.heartbeatIntervalMs) continue;
      entry.isLogged = true;
      this.#logRefused(refusal);
    }
  }

  #logRefused({ job, tasks, why, account }: Refused): void {
    const detail = { job: job.id, tasks, gpus: job.spec.gpus, why, ...accountFigures(account) };
    this.context.log.info(detail, 'nothing reclaimed');
  }

  /** Logs once that no fleet within the operators' bounds can meet all guarantees. */
  #logExcessGuarantees(): void {
    const { clusterConfig, clusterState, settings, log } = this.context;
    const { maxOrdinaryMachines, maxSpotMachines } = settings.operators;
    const largestGpus = Math.max(0, ...[...clusterState.types.values()].map((type) => type.gpus));
    const most = (maxOrdinaryMachines + maxSpotMachines) * largestGpus;
    const guaranteed = guaranteedGpus(clusterConfig);
    if (this.#hasLoggedExcess || largestGpus === 0 || guaranteed <= most) return;
    this.#hasLoggedExcess = true;
    log.error({ field: 'facts.teams.gpus', guaranteed, most }, 'guarantees exceed the largest possible fleet');
  }
}

/** How a team stands, as fields of a log line; all but its name in GPUs. */
function accountFigures(account: TeamAccount): Record<string, number | string> {
  const { team, surelyUsed: low, possiblyUsed: high, unschedulable: waiting } = account;
  const gpusOf = (resources: Resources): number => Math.round(resources.gpus * 1000) / 1000;
  return {
    team: team.name,
    guarantee: team.gpus,
    limit: team.gpusMax,
    runs: gpusOf(low),
    mayRun: gpusOf(high),
    waits: gpusOf(waiting),
    borrowed: borrowed(account, 'gpus'),
    lent: lent(account, 'gpus'),
  };
}
