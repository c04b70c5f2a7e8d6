// Schedules the probes of crash-looping jobs: the leader assigns one task of such a job at a time, with growing pauses.
// It never gives up the job, because a series of faulty machines looks the same at first. The time is an argument: this
// module reads no clock.
import type { ClusterConfig } from '../cluster/cluster-config';
import type { ProbePolicy } from './probe-policy';

/** The probes of one job. All times are on the caller's clock, in milliseconds. */
interface Probe {
  /** Earliest start of the next probe. */
  nextAt: number;
  /** Pause after the next probe. */
  pauseMs: number;
  /** Since when a task of the job has been reported running without a gap; null: none is running. */
  runningSince: number | null;
  /** How long a task has to run to prove that the job can run. */
  provenAfterMs: number;
  isProven: boolean;
  /** Partition of the last probe; the next one goes to another if possible. Null: there was none. */
  lastPartitionId: number | null;
}

/** The pause after the first probe, in heartbeat intervals. */
const FIRST_PAUSE_INTERVALS = 2;

/** How long the first probe has to run to prove that the job can run, in heartbeat intervals. */
const PROVEN_INTERVALS = 4;

/** The run time that proves a job doubles each time that the job is proven, up to this many cancellation bounds. */
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
   * Notes that the job's record no longer marks it as crash-looping. If the job fails again, its next probe has to run
   * for longer.
   */
  crashLoopMarkRemoved(job: string): void {
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

  /** Notes that a task of the job has been assigned to a partition as a probe. */
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
