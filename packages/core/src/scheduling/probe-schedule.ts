// When the leader has a task of a failing job tried again. Such a job is retried as a job: one task at a time, however many it has,
// with pauses that grow, and never given up, for a run of machines at fault looks alike at first. Pure: the time is an argument.
import type { ClusterConfig } from '../cluster/cluster-config';

interface Probe {
  /** No task is assigned before. */
  nextAt: number;
  pauseMs: number;
  /** Since when a task of the job has been reported running without a gap; null: none is. */
  runningSince: number | null;
  /** For how long a task has to run for the job to count as one that can. */
  provenAfterMs: number;
  isProven: boolean;
  /** Where its last trial was; the next one goes elsewhere if it can. */
  lastPartitionId: number | null;
}

/** The pause after the first trial, and how long a trial has to run at first, in report intervals. */
const FIRST_PAUSE_INTERVALS = 2;
const PROVEN_INTERVALS = 4;

/** What a trial was not enough for doubles with each failure after it, up to this many times `cancel_s`. */
const MOST_PROVEN_CANCELS = 8;

export class ProbeSchedule {
  readonly #probes = new Map<string, Probe>();

  constructor(readonly clusterConfig: ClusterConfig) {}

  #of(job: string): Probe {
    let probe = this.#probes.get(job);
    if (probe === undefined) {
      probe = {
        nextAt: -Infinity,
        pauseMs: this.clusterConfig.heartbeatIntervalMs * FIRST_PAUSE_INTERVALS,
        runningSince: null,
        provenAfterMs: this.clusterConfig.heartbeatIntervalMs * PROVEN_INTERVALS,
        isProven: false,
        lastPartitionId: null,
      };
      this.#probes.set(job, probe);
    }
    return probe;
  }

  /** Takes in which jobs are live, which of them are marked as failing, and how many tasks of each are reported running. */
  review(
    isLive: (job: string) => boolean,
    crashLooping: Iterable<string>,
    running: (job: string) => number,
    now: number,
  ): void {
    for (const job of this.#probes.keys()) if (!isLive(job)) this.#probes.delete(job);
    for (const job of crashLooping) {
      const probe = this.#of(job);
      if (running(job) === 0) probe.runningSince = null;
      else probe.runningSince ??= now;
      probe.isProven = probe.runningSince !== null && now - probe.runningSince >= probe.provenAfterMs;
    }
  }

  /** Whether a trial has run for long enough: the job is no failing one any more. */
  isProven(job: string): boolean {
    return this.#probes.get(job)?.isProven ?? false;
  }

  /** The mark has been taken off. Should the job fail again, its next trial has to run for longer. */
  markRemoved(job: string): void {
    const probe = this.#probes.get(job);
    if (probe === undefined) return;
    probe.provenAfterMs = Math.min(
      probe.provenAfterMs * 2,
      this.clusterConfig.cancellationBoundMs * MOST_PROVEN_CANCELS,
    );
    probe.runningSince = null;
    probe.isProven = false;
  }

  mayProbe(job: string, now: number): boolean {
    return now >= this.#of(job).nextAt;
  }

  lastPartitionId(job: string): number | null {
    return this.#of(job).lastPartitionId;
  }

  /** A task of the job has been assigned to a partition as a trial. */
  probeStarted(job: string, partitionId: number, now: number): void {
    const probe = this.#of(job);
    probe.lastPartitionId = partitionId;
    probe.nextAt = now + probe.pauseMs;
    probe.pauseMs = Math.min(probe.pauseMs * 2, this.clusterConfig.cancellationBoundMs);
  }
}
