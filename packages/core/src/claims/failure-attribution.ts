/**
 * Attributes the failure of a task to its machine or to its job. A job that was submitted with a mistake fails on every
 * machine, and a faulty machine fails every job, so a single failure proves neither. If a job runs elsewhere, the
 * machine on which it failed is held responsible; a machine on which only unproven jobs failed is not. Pure: times are
 * arguments, in steady milliseconds.
 */
import type { ClusterConfig } from '../cluster/cluster-config';

/** What is known about a job apart from its failures in this partition. */
export interface JobEvidence {
  /** Whether a task of the job has completed, which proves that the job can run. */
  readonly hasCompleted: boolean;
  /** Whether the job is done or cancelled. */
  readonly isOver: boolean;
  /** Whether the job's record says that it failed on several machines and was not seen to run. */
  readonly isMarkedCrashLooping: boolean;
  /** On how many machines of the partition tasks of the job are reported running now. */
  readonly runningMachineCount: number;
  /** How long the longest-running of these tasks has run, in milliseconds; 0 if none runs. */
  readonly longestRunMs: number;
}

/**
 * Whether a job that failed is itself at fault.
 * unproven:      unknown, because the job was not seen to run.
 * crash-looping: at fault, because the job failed on several machines, and on more than it runs on.
 * proven:        not at fault, because the job can run.
 */
export type JobVerdict = 'unproven' | 'crash-looping' | 'proven';

/** A job that has failed on some machine. */
interface FailedJob {
  verdict: JobVerdict;
  /** When a task of the job last failed on a machine, by machine name. */
  readonly failedAt: Map<string, number>;
  /** The longest time that a task of the job ran before it failed, in milliseconds. */
  longestFailedRunMs: number;
}

/**
 * A job that failed on at least this many machines, and on more than it runs on, is itself at fault until it is seen to
 * run.
 */
const CRASH_LOOP_MACHINES = 2;

/** A machine is at fault if at least this many jobs that run elsewhere failed on it. */
const QUARANTINE_JOBS = 2;

/** A task proves its job after it has run this many times the longest failed run, plus `PROVEN_INTERVALS`. */
const PROVEN_RUNS = 2;

/** Heartbeat intervals that a task must run beyond `PROVEN_RUNS` times the longest failed run to prove its job. */
const PROVEN_INTERVALS = 3;

/** The failures in one partition and the resulting verdicts on jobs and machines. */
export class FailureAttribution {
  /** The failures of each job that is not over, by job id. */
  readonly #failedJobs = new Map<string, FailedJob>();
  /** The jobs that failed on a machine since a task last completed there, by machine name. */
  readonly #failuresByMachine = new Map<string, Set<FailedJob>>();
  /** The proven jobs that failed on a machine since a task last completed there, by machine name. */
  readonly #failedJobsByMachine = new Map<string, Set<string>>();
  /** When a task last completed on a machine, by machine name. */
  readonly #completedAt = new Map<string, number>();

  constructor(readonly clusterConfig: ClusterConfig) {}

  /** Records that a task of the job ended with an error on the machine after it had been seen running for `ranMs`. */
  recordFailure(job: string, machine: string, ranMs: number, now: number): void {
    const known = this.#failedJobs.get(job) ?? {
      verdict: 'unproven' as const,
      failedAt: new Map(),
      longestFailedRunMs: 0,
    };
    known.failedAt.set(machine, now);
    known.longestFailedRunMs = Math.max(known.longestFailedRunMs, ranMs);
    this.#failedJobs.set(job, known);
    const failuresHere = this.#failuresByMachine.get(machine);
    if (failuresHere === undefined) this.#failuresByMachine.set(machine, new Set([known]));
    else failuresHere.add(known);
    if (known.verdict === 'proven') this.#holdMachineResponsible(machine, job, now);
  }

  /**
   * Records that a task of the job completed on the machine: neither the job nor the machine is at fault for earlier
   * failures. Failures of other jobs on the machine still count against those jobs; otherwise a broken array would be
   * restarted again and again on machines where other jobs complete.
   */
  recordCompletion(job: string, machine: string, now: number): void {
    this.#failedJobsByMachine.delete(machine);
    this.#failuresByMachine.delete(machine);
    this.#completedAt.set(machine, now);
    const failures = this.#failedJobs.get(job);
    if (failures !== undefined) this.#setVerdict(job, failures, 'proven');
  }

  /** Updates the verdict on each failed job from the current evidence, and forgets jobs that are over. */
  updateVerdicts(evidenceOn: (job: string) => JobEvidence): void {
    for (const [job, failures] of this.#failedJobs) {
      const evidence = evidenceOn(job);
      this.#setVerdict(job, failures, this.#verdictOn(failures, evidence));
      if (evidence.isOver || failures.failedAt.size === 0) this.#forgetJob(job, failures);
    }
  }

  #forgetJob(job: string, failures: FailedJob): void {
    this.#failedJobs.delete(job);
    for (const machine of failures.failedAt.keys()) this.#failuresByMachine.get(machine)?.delete(failures);
  }

  #verdictOn({ failedAt, longestFailedRunMs }: FailedJob, evidence: JobEvidence): JobVerdict {
    const { hasCompleted, isMarkedCrashLooping, runningMachineCount, longestRunMs } = evidence;
    const provenAfterMs = longestFailedRunMs * PROVEN_RUNS + this.clusterConfig.heartbeatIntervalMs * PROVEN_INTERVALS;
    if (hasCompleted || longestRunMs > provenAfterMs) return 'proven';
    if (isMarkedCrashLooping || (failedAt.size >= CRASH_LOOP_MACHINES && failedAt.size > runningMachineCount))
      return 'crash-looping';
    return 'unproven';
  }

  /** Sets the verdict on a job. When the job becomes proven, the machines on which it failed are held responsible. */
  #setVerdict(job: string, failures: FailedJob, verdict: JobVerdict): void {
    if (verdict === 'proven' && failures.verdict !== 'proven') {
      for (const [machine, at] of failures.failedAt) this.#holdMachineResponsible(machine, job, at);
    }
    failures.verdict = verdict;
  }

  /** Whether a task has completed on the machine since a failure, so that the machine is not at fault for it. */
  #hasCompletedSince(machine: string, failedAt: number): boolean {
    return failedAt <= (this.#completedAt.get(machine) ?? -Infinity);
  }

  /** Counts a failure of a proven job against the machine. */
  #holdMachineResponsible(machine: string, job: string, failedAt: number): void {
    if (this.#hasCompletedSince(machine, failedAt)) return;
    const jobs = this.#failedJobsByMachine.get(machine);
    if (jobs === undefined) this.#failedJobsByMachine.set(machine, new Set([job]));
    else jobs.add(job);
  }

  /** Forgets all failures and completions on a machine that is gone. */
  forgetMachine(machine: string): void {
    this.#failedJobsByMachine.delete(machine);
    this.#failuresByMachine.delete(machine);
    this.#completedAt.delete(machine);
    for (const failures of this.#failedJobs.values()) failures.failedAt.delete(machine);
  }

  /** The verdict on the job; null if it has not failed in this partition, or was forgotten. */
  verdictOn(job: string): JobVerdict | null {
    return this.#failedJobs.get(job)?.verdict ?? null;
  }

  /** Whether the job has failed on a machine of this partition, and the failure is not forgotten. */
  hasFailed(job: string): boolean {
    return this.#failedJobs.has(job);
  }

  /** Whether the job may not start on the machine because it failed there within the last worker lease. */
  isExcluded(job: string, machine: string, now: number): boolean {
    const failedAt = this.#failedJobs.get(job)?.failedAt.get(machine);
    return failedAt !== undefined && now - failedAt < this.clusterConfig.workerLeaseMs;
  }

  /** How many jobs failed on the machine since a task last completed there, whether or not the jobs are at fault. */
  jobsFailedOn(machine: string): number {
    let jobs = 0;
    for (const { failedAt } of this.#failuresByMachine.get(machine) ?? []) {
      const at = failedAt.get(machine);
      if (at !== undefined && !this.#hasCompletedSince(machine, at)) jobs++;
    }
    return jobs;
  }

  /**
   * Whether the machine is at fault: several jobs that run elsewhere failed there since a task last completed there.
   */
  isQuarantined(machine: string): boolean {
    return (this.#failedJobsByMachine.get(machine)?.size ?? 0) >= QUARANTINE_JOBS;
  }

  /**
   * Whether the machine gets no new work for a while because it may be at fault: within the last worker lease, several
   * jobs failed there that are not known to be at fault. Starting these jobs elsewhere shows whether they or the
   * machine are at fault.
   */
  isOnProbation(machine: string, now: number): boolean {
    let jobs = 0;
    for (const { verdict, failedAt } of this.#failuresByMachine.get(machine) ?? []) {
      const at = failedAt.get(machine);
      if (verdict === 'crash-looping' || at === undefined || this.#hasCompletedSince(machine, at)) continue;
      if (now - at < this.clusterConfig.workerLeaseMs) jobs++;
    }
    return jobs >= QUARANTINE_JOBS;
  }
}
