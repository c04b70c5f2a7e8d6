// When the leader has a task of a crash-looping job started again as a probe. Such a job is retried as a job: one
// task at a time, however many it has, with pauses that grow, and it is never given up, for a series of faulty
// machines looks the same at first. Nothing here reads a clock: the time is an argument.
import type { ClusterConfig } from '../cluster/cluster-config';
import type { ProbePolicy } from './probe-policy';

/** The probes of one job. All moments are on the clock of the caller, in milliseconds. */
interface Probe {
  /** The next one is not started before. */
  nextAt: number;
  /** How long the one after it waits. */
  pauseMs: number;
  /** Since when a task of the job has been reported running without a gap; null: none is running. */
  runningSince: number | null;
  /** How long a task has to run for the job to be proven. */
  provenAfterMs: number;
  isProven: boolean;
  /** Where the last probe was; the next one goes elsewhere if it can. Null: there was none. */
  lastPartitionId: number | null;
}

/** The pause after the first probe, in heartbeat intervals. */
const FIRST_PAUSE_INTERVALS = 2;

/** How long a probe has to run at first, in heartbeat intervals. */
const PROVEN_INTERVALS = 4;

/** How long a probe has to run doubles each time that the job was proven, up to so many cancellation bounds. */
const MAX_PROVEN_CANCELLATION_BOUNDS = 8;

/** The probes of all crash-looping jobs, by the leader's clock. */
export class ProbeSchedule implements ProbePolicy {
  readonly #probesByJob = new Map<string, Probe>();

  constructor(readonly clusterConfig: ClusterConfig) {}

  /**
   * Updates which jobs are proven, and forgets those that are not live. `runningCount` says how many tasks of a
   * crash-looping job are reported running.
   */
  review(
    isLive: (job: string) => boolean,
    crashLooping: Iterable<string>,
    runningCount: (job: string) => number,
    now: number,
  ): void {
    for (const job of this.#probesByJob.keys()) if (!isLive(job)) this.#probesByJob.delete(job);
    for (const job of crashLooping) {
      const probe = this.#probeOf(job);
      if (runningCount(job) === 0) probe.runningSince = null;
      else probe.runningSince ??= now;
      probe.isProven = probe.runningSince !== null && now - probe.runningSince >= probe.provenAfterMs;
    }
  }

  /** Whether a probe has run for long enough to show that the job can run. */
  isProven(job: string): boolean {
    return this.#probesByJob.get(job)?.isProven ?? false;
  }

  /**
   * The job's record does not mark it as crash-looping any more. If it fails again, its next probe has to run for
   * longer.
   */
  recordMarkRemoved(job: string): void {
    const probe = this.#probesByJob.get(job);
    if (probe === undefined) return;
    probe.provenAfterMs = Math.min(
      probe.provenAfterMs * 2,
      this.clusterConfig.cancellationBoundMs * MAX_PROVEN_CANCELLATION_BOUNDS,
    );
    probe.runningSince = null;
    probe.isProven = false;
  }

  /** Whether the job's next probe is due. */
  mayProbe(job: string, now: number): boolean {
    return now >= (this.#probesByJob.get(job)?.nextAt ?? -Infinity);
  }

  /** The partition of the job's last probe; null: there was none. */
  lastPartitionId(job: string): number | null {
    return this.#probesByJob.get(job)?.lastPartitionId ?? null;
  }

  /** A task of the job has been assigned to a partition as a probe. */
  probeStarted(job: string, partitionId: number, now: number): void {
    const probe = this.#probeOf(job);
    probe.lastPartitionId = partitionId;
    probe.nextAt = now + probe.pauseMs;
    probe.pauseMs = Math.min(probe.pauseMs * 2, this.clusterConfig.cancellationBoundMs);
  }

  /** The job's probes, created if there were none. */
  #probeOf(job: string): Probe {
    let probe = this.#probesByJob.get(job);
    if (probe === undefined) {
      probe = this.#newProbe();
      this.#probesByJob.set(job, probe);
    }
    return probe;
  }

  #newProbe(): Probe {
    const { heartbeatIntervalMs } = this.clusterConfig;
    return {
      nextAt: -Infinity,
      pauseMs: heartbeatIntervalMs * FIRST_PAUSE_INTERVALS,
      runningSince: null,
      provenAfterMs: heartbeatIntervalMs * PROVEN_INTERVALS,
      isProven: false,
      lastPartitionId: null,
    };
  }
}
