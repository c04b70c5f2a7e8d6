/**
 * Whether a failed task is the fault of its machine or of its job. A job that was submitted with a mistake fails on
 * every machine, and a faulty machine fails every job, so a failure alone says neither. If a job runs elsewhere, the
 * machine on which it failed is held responsible; machines on which only unproven jobs failed are not. Pure: the time
 * is an argument (steady milliseconds).
 */
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

/**
 * unproven:      failed, and not seen to run.
 * crash-looping: failed on several machines, and on more than it runs on.
 * proven:        it can run.
 */
export type JobVerdict = 'unproven' | 'crash-looping' | 'proven';

/** A job that has failed on some machine. */
interface FailedJob {
  verdict: JobVerdict;
  /** By machine: when a task of the job failed there last. */
  readonly failedAt: Map<string, number>;
  /** How long a task of it ran at most before it failed; milliseconds. */
  longestFailedRunMs: number;
}

/**
 * A job that failed on so many machines and runs on fewer than it failed on is itself at fault, until it is seen to
 * run.
 */
const CRASH_LOOP_MACHINES = 2;

/** A machine on which so many jobs failed that run elsewhere is at fault. */
const QUARANTINE_JOBS = 2;

/** A task proves its job once it has run for this many times as long as the longest failed run of the job ... */
const PROVEN_RUNS = 2;

/** ... and this many heartbeat intervals on top. */
const PROVEN_INTERVALS = 3;

/** The failures in one partition and the verdicts on jobs and machines that follow from them. */
export class FailureAttribution {
  /** By id: jobs that failed on a machine and were not forgotten since. */
  readonly #failedJobs = new Map<string, FailedJob>();
  /** By machine: the jobs that run elsewhere and failed there, since a task last completed there. */
  readonly #failedJobsByMachine = new Map<string, Set<string>>();
  /** By machine: when a task last completed there. */
  readonly #completedAt = new Map<string, number>();

  constructor(readonly clusterConfig: ClusterConfig) {}

  /** A task of the job ended with an error on the machine, after it had been seen running for `ranMs`. */
  failed(job: string, machine: string, ranMs: number, now: number): void {
    const known = this.#failedJobs.get(job) ?? {
      verdict: 'unproven' as const,
      failedAt: new Map(),
      longestFailedRunMs: 0,
    };
    known.failedAt.set(machine, now);
    known.longestFailedRunMs = Math.max(known.longestFailedRunMs, ranMs);
    this.#failedJobs.set(job, known);
    if (known.verdict === 'proven') this.#holdMachineResponsible(machine, job, now);
  }

  /**
   * A task of the job completed on the machine: neither is at fault for what came before. That other jobs failed there
   * still counts against those jobs: otherwise a broken array would be started over and over where others complete.
   */
  completed(job: string, machine: string, now: number): void {
    this.#failedJobsByMachine.delete(machine);
    this.#completedAt.set(machine, now);
    const failures = this.#failedJobs.get(job);
    if (failures !== undefined) this.#decide(job, failures, 'proven');
  }

  /** Decides on each failed job anew by the evidence of now, and forgets those that are over. */
  review(evidenceOn: (job: string) => JobEvidence): void {
    for (const [job, failures] of this.#failedJobs) {
      const evidence = evidenceOn(job);
      this.#decide(job, failures, this.#verdictOn(failures, evidence));
      if (evidence.isOver || failures.failedAt.size === 0) this.#failedJobs.delete(job);
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

  /** Changes the verdict on a job; once it is proven, the machines on which it failed are held responsible. */
  #decide(job: string, failures: FailedJob, verdict: JobVerdict): void {
    if (verdict === 'proven' && failures.verdict !== 'proven') {
      for (const [machine, at] of failures.failedAt) this.#holdMachineResponsible(machine, job, at);
    }
    failures.verdict = verdict;
  }

  /** Whether the machine is not at fault for a failure at that time, because a task has completed there since. */
  #isExonerated(machine: string, failedAt: number): boolean {
    return failedAt <= (this.#completedAt.get(machine) ?? -Infinity);
  }

  /** Counts a failure of a proven job against the machine. */
  #holdMachineResponsible(machine: string, job: string, failedAt: number): void {
    if (this.#isExonerated(machine, failedAt)) return;
    const jobs = this.#failedJobsByMachine.get(machine);
    if (jobs === undefined) this.#failedJobsByMachine.set(machine, new Set([job]));
    else jobs.add(job);
  }

  /** Forgets all that happened on a machine that is gone. */
  forgetMachine(machine: string): void {
    this.#failedJobsByMachine.delete(machine);
    this.#completedAt.delete(machine);
    for (const failures of this.#failedJobs.values()) failures.failedAt.delete(machine);
  }

  /** The verdict on the job; null: it has not failed here, or is forgotten. */
  verdictOn(job: string): JobVerdict | null {
    return this.#failedJobs.get(job)?.verdict ?? null;
  }

  /** Whether the job failed on the machine within the last worker lease, and so is to be started elsewhere first. */
  isExcluded(job: string, machine: string, now: number): boolean {
    const failedAt = this.#failedJobs.get(job)?.failedAt.get(machine);
    return failedAt !== undefined && now - failedAt < this.clusterConfig.workerLeaseMs;
  }

  /** How many jobs failed on the machine since a task last completed there, whatever is at fault. */
  jobsFailedOn(machine: string): number {
    let jobs = 0;
    for (const { failedAt } of this.#failedJobs.values()) {
      const at = failedAt.get(machine);
      if (at !== undefined && !this.#isExonerated(machine, at)) jobs++;
    }
    return jobs;
  }

  /** Whether the machine is at fault until a task completes there: several jobs failed there that run elsewhere. */
  isQuarantined(machine: string): boolean {
    return (this.#failedJobsByMachine.get(machine)?.size ?? 0) >= QUARANTINE_JOBS;
  }

  /**
   * Whether the machine gets no new work for a while, for it may be at fault: several jobs failed there within the last
   * worker lease of which none is known to be at fault itself. Starting these jobs elsewhere shows which it is.
   */
  isOnProbation(machine: string, now: number): boolean {
    let jobs = 0;
    for (const { verdict, failedAt } of this.#failedJobs.values()) {
      const at = failedAt.get(machine);
      if (verdict === 'crash-looping' || at === undefined || this.#isExonerated(machine, at)) continue;
      if (now - at < this.clusterConfig.workerLeaseMs) jobs++;
    }
    return jobs >= QUARANTINE_JOBS;
  }
}
