// Whose fault a failed task is: its machine's or its job's. A job that was submitted with a mistake fails on every machine, and a
// machine at fault fails every job, so a failure alone says neither. A job that runs elsewhere convicts the machine on which it
// failed; machines on which nothing but unproven jobs failed are left alone. Pure: the time is an argument.
import type { ClusterConfig } from '../cluster/cluster-config';

/** What is known of a job from outside its failures here. */
export interface JobEvidence {
  /** A task of it has completed: it can run. */
  readonly hasCompleted: boolean;
  /** It is done or cancelled. */
  readonly isOver: boolean;
  /** Its record says that it failed on several machines and was not seen to run. */
  readonly isMarkedCrashLooping: boolean;
  /** On how many machines of the partition its tasks are reported running now. */
  readonly runningOn: number;
  /** For how long the oldest of these has been. */
  readonly longestRunMs: number;
}

/** unproven: failed, and not seen to run; failing: failed on more machines than it runs on; proven: it can run. */
export type JobVerdict = 'unproven' | 'crash-looping' | 'proven';

interface FailedJob {
  verdict: JobVerdict;
  /** By machine: when a task of the job failed there last. */
  readonly failedAt: Map<string, number>;
  /** How long a task of it ran at most before it failed. */
  longestFailedRunMs: number;
}

/** A job that failed on so many machines and runs on fewer is the one at fault, until it is seen to run. */
const CRASH_LOOP_MACHINES = 2;

/** A machine on which so many jobs failed that run elsewhere is at fault. */
const QUARANTINE_JOBS = 2;

/** A task that runs for this many times as long as others of its job took to fail, and some report intervals, proves its job. */
const PROVEN_RUNS = 2;
const PROVEN_INTERVALS = 3;

export class FailureAttribution {
  /** Jobs that failed on a machine and were not forgotten since. */
  readonly #jobs = new Map<string, FailedJob>();
  /** By machine: the jobs that run elsewhere and failed there, since a task last completed there. */
  readonly #failedJobsByMachine = new Map<string, Set<string>>();
  /** By machine: when a task last completed there. */
  readonly #completedAt = new Map<string, number>();

  constructor(readonly clusterConfig: ClusterConfig) {}

  /** A task of the job ended with an error on the machine, after it had been seen running for `ranMs`. */
  failed(job: string, machine: string, ranMs: number, now: number): void {
    const known = this.#jobs.get(job) ?? { verdict: 'unproven' as const, failedAt: new Map(), longestFailedRunMs: 0 };
    known.failedAt.set(machine, now);
    known.longestFailedRunMs = Math.max(known.longestFailedRunMs, ranMs);
    this.#jobs.set(job, known);
    if (known.verdict === 'proven') this.#holdMachineResponsible(machine, job, now);
  }

  /**
   * A task of the job completed on the machine: neither is at fault for what came before. That other jobs failed there is held against
   * them all the same: forgotten with the machine's fault, it let a broken array be tried over and over where others completed.
   */
  completed(job: string, machine: string, now: number): void {
    this.#failedJobsByMachine.delete(machine);
    this.#completedAt.set(machine, now);
    const own = this.#jobs.get(job);
    if (own !== undefined) this.#decide(job, own, 'proven');
  }

  /** Looks at each failed job anew. */
  review(evidenceOn: (job: string) => JobEvidence): void {
    for (const [job, failures] of this.#jobs) {
      const evidence = evidenceOn(job);
      this.#decide(job, failures, this.#verdictOn(failures, evidence));
      if (evidence.isOver || failures.failedAt.size === 0) this.#jobs.delete(job);
    }
  }

  #verdictOn({ failedAt, longestFailedRunMs }: FailedJob, evidence: JobEvidence): JobVerdict {
    const { hasCompleted, isMarkedCrashLooping, runningOn, longestRunMs } = evidence;
    const provenAfterMs = longestFailedRunMs * PROVEN_RUNS + this.clusterConfig.heartbeatIntervalMs * PROVEN_INTERVALS;
    if (hasCompleted || longestRunMs > provenAfterMs) return 'proven';
    if (isMarkedCrashLooping || (failedAt.size >= CRASH_LOOP_MACHINES && failedAt.size > runningOn))
      return 'crash-looping';
    return 'unproven';
  }

  /** The one function that changes a verdict. */
  #decide(job: string, failures: FailedJob, verdict: JobVerdict): void {
    if (verdict === 'proven' && failures.verdict !== 'proven') {
      for (const [machine, at] of failures.failedAt) this.#holdMachineResponsible(machine, job, at);
    }
    failures.verdict = verdict;
  }

  /** Whether a failure on the machine is no fault of it, for a task has completed there since. */
  #isExonerated(machine: string, failedAt: number): boolean {
    return failedAt <= (this.#completedAt.get(machine) ?? -Infinity);
  }

  #holdMachineResponsible(machine: string, job: string, failedAt: number): void {
    if (this.#isExonerated(machine, failedAt)) return;
    const jobs = this.#failedJobsByMachine.get(machine);
    if (jobs === undefined) this.#failedJobsByMachine.set(machine, new Set([job]));
    else jobs.add(job);
  }

  /** The machine is gone, or has begun anew. */
  forgetMachine(machine: string): void {
    this.#failedJobsByMachine.delete(machine);
    this.#completedAt.delete(machine);
    for (const failures of this.#jobs.values()) failures.failedAt.delete(machine);
  }

  verdictOn(job: string): JobVerdict | null {
    return this.#jobs.get(job)?.verdict ?? null;
  }

  /** Whether the job failed on the machine lately enough to be started elsewhere first. */
  isExcluded(job: string, machine: string, now: number): boolean {
    const at = this.#jobs.get(job)?.failedAt.get(machine);
    return at !== undefined && now - at < this.clusterConfig.workerLeaseMs;
  }

  /** How many jobs failed on the machine since a task last completed there, whoever is at fault. */
  jobsFailedOn(machine: string): number {
    let jobs = 0;
    for (const { failedAt } of this.#jobs.values()) {
      const at = failedAt.get(machine);
      if (at !== undefined && !this.#isExonerated(machine, at)) jobs++;
    }
    return jobs;
  }

  /** Whether the machine is at fault for good: several jobs failed there that run elsewhere. */
  isQuarantined(machine: string): boolean {
    return (this.#failedJobsByMachine.get(machine)?.size ?? 0) >= QUARANTINE_JOBS;
  }

  /**
   * Whether the machine gets no new work for a while, for it may be at fault: several jobs failed there lately of which none is
   * known to be at fault itself. Whether it is shows as soon as these jobs have been started elsewhere.
   */
  isOnProbation(machine: string, now: number): boolean {
    let jobs = 0;
    for (const { verdict, failedAt } of this.#jobs.values()) {
      const at = failedAt.get(machine);
      if (verdict === 'crash-looping' || at === undefined || this.#isExonerated(machine, at)) continue;
      if (now - at < this.clusterConfig.workerLeaseMs) jobs++;
    }
    return jobs >= QUARANTINE_JOBS;
  }
}
