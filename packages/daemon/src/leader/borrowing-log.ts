// The leader's log lines on borrowing: the account of each team, and why nothing can be reclaimed for a job.
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

/** Logs refusals that last for a heartbeat interval, and all accounts once per worker lease. */
export class BorrowingLog {
  #refusalsByJob = new Map<string, LoggedRefusal>();
  #accountsLoggedAt = -Infinity;
  #hasLoggedExcess = false;

  constructor(readonly context: ControllerContext) {}

  /** Records the outcome of one plan of reclaims. */
  record(refused: readonly Refused[], accounts: readonly TeamAccount[], now: number): void {
    this.#recordRefusals(refused, now);
    if (now - this.#accountsLoggedAt < this.context.clusterConfig.workerLeaseMs) return;
    this.#accountsLoggedAt = now;
    for (const account of accounts) this.context.log.info(accountFigures(account), 'team account');
    this.#logExcessGuarantees();
  }

  #recordRefusals(refused: readonly Refused[], now: number): void {
    const previous = this.#refusalsByJob;
    this.#refusalsByJob = new Map();
    for (const refusal of refused) {
      const { job, why } = refusal;
      const known = previous.get(job.id);
      const entry = known?.why === why ? known : { why, since: now, isLogged: false };
      this.#refusalsByJob.set(job.id, entry);
      // A reason that changes within a heartbeat interval does not help operators.
      if (entry.isLogged || now - entry.since < this.context.clusterConfig.heartbeatIntervalMs) continue;
      entry.isLogged = true;
      this.#logRefused(refusal);
    }
  }

  #logRefused({ job, tasks, why, account }: Refused): void {
    const detail = { job: job.id, tasks, gpus: job.spec.gpus, why, ...accountFigures(account) };
    this.context.log.info(detail, 'nothing reclaimed');
  }

  /** Logs, once, that even the largest fleet that the operators allow cannot meet all guarantees. */
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

/** A team's account as fields of a log line; all numbers are GPUs. */
function accountFigures(account: TeamAccount): Record<string, number | string> {
  const { team, surelyUsed, possiblyUsed, unschedulable } = account;
  const gpusOf = (resources: Resources): number => Math.round(resources.gpus * 1000) / 1000;
  return {
    team: team.name,
    guarantee: team.gpus,
    limit: team.gpusMax,
    runs: gpusOf(surelyUsed),
    mayRun: gpusOf(possiblyUsed),
    waits: gpusOf(unschedulable),
    borrowed: borrowed(account, 'gpus'),
    lent: lent(account, 'gpus'),
  };
}
