// Requests of users: submissions, polls and cancellations of jobs.
import { type CompareAndSwapResult, URGENCY } from '@gingerlock/clients';
import { countAssignedUnfinished, type JobTable, unschedulableReason } from '@gingerlock/core';
import { isGroupSpec } from '@gingerlock/replica-groups';
import {
  decodeSubmission,
  encodeJobState,
  isJobId,
  jobRecord,
  type JobSpec,
  KEYS,
  maxGroupMembers,
} from '@gingerlock/wire';
import type { ControllerContext } from '../controller/controller-context';
import { cancelledJobValue, jobStateOf, newJobRecord, invalidDependencyReason } from './job-records';
import { malformed, refusal, type Reply } from './reply';

/** Share of the largest value that the record of a new job leaves free for its assigned ranges. */
const ASSIGNED_RANGES_SHARE = 0.25;

/** Longest time that a user's transaction waits for the rate limiter, in milliseconds. */
const RATE_LIMIT_WAIT_MS = 2000;

/** How long a cancellation is retried while others change the job's record, in milliseconds. */
const CANCEL_RETRY_MS = 3000;

/** Value of `retry-after` for requests that can't be answered now, in seconds. */
const RETRY_AFTER_S = 1;

/**
 * Answers requests about jobs; any controller answers for any job. A reply other than 5xx and 429 never shows an older
 * state than a reply that any controller gave before the request: it is based on a linearizable read, on a commit of
 * this controller, or on a final state. Only the number of running tasks may lag, by `DISPLAY_LAG_MS`. Requests are
 * idempotent; a submission is identified by its job's id.
 */
export class JobApi {
  constructor(
    readonly context: ControllerContext,
    /** How many tasks of a job run now, according to the latest statuses of the partitions. */
    readonly runningTasks: (id: string) => number,
  ) {}

  /** Replies 200 with the state of the job, 404 if it was never accepted, or 503 if the store can't be read. */
  async poll(id: string): Promise<Reply> {
    if (!isJobId(id)) return refusal(404, 'no such job');
    if (!this.#isFinal(id)) {
      try {
        await this.context.watchCache.linearizableRead();
      } catch {
        return this.#unavailable();
      }
    }
    return this.#reply(id, 200);
  }

  /**
   * Replies 201 once the job is stored, 200 if it was before, 400 if the body can't be decoded, 422 if the job can
   * never run, 429 if there are too many requests, or 503 if the outcome is not known or the store can't be reached.
   */
  async submit(body: Buffer): Promise<Reply> {
    let spec: JobSpec;
    try {
      spec = decodeSubmission(body);
    } catch (error) {
      return malformed(error);
    }
    const { id } = spec;
    const { clusterState, clock, keyValueStore, settings } = this.context;
    if (this.#jobs.isKnown(id)) return this.poll(id);
    if (clusterState.types.size === 0) return refusal(503, 'machine types are not known yet', RETRY_AFTER_S);
    const impossible = this.#impossibleReason(spec);
    if (impossible !== null) return refusedUnlessKnown(await this.poll(id), impossible);
    const refused = await this.#checkDependencies(spec);
    if (refused !== null) return refused;
    const waitMs = keyValueStore.options.rateLimiter.waitMs(URGENCY.accept);
    if (waitMs > RATE_LIMIT_WAIT_MS) return refusal(429, 'too many requests', Math.ceil(waitMs / 1000));
    const value = jobRecord.write(newJobRecord(spec, this.#jobs, clock.wallNow()));
    if (Buffer.byteLength(JSON.stringify(value)) > settings.valueBytes * (1 - ASSIGNED_RANGES_SHARE))
      return refusedUnlessKnown(await this.poll(id), 'the description is too long, or too many jobs to wait for');
    const key = KEYS.job(id);
    const changes = [{ put: key, value }];
    const isNew = { key, version: 0 };
    const result = await keyValueStore.compareAndSwap(URGENCY.accept, [isNew], changes, RATE_LIMIT_WAIT_MS);
    switch (result.kind) {
      case 'done':
        this.context.recordCommit(changes, result.revision);
        this.#logAccepted(spec);
        return this.#reply(id, 201);
      case 'conflict':
        return this.poll(id);
      default:
        return this.#replyAfterFailedCommit(id, result);
    }
  }

  #logAccepted({ id, jobClass, team, tasks, awaits }: JobSpec): void {
    this.context.log.debug({ job: id, class: jobClass, team, tasks, awaits }, 'accepted');
  }

  /** Returns why the job can never run, or null if it can. */
  #impossibleReason(spec: JobSpec): string | null {
    const { clusterConfig, features, valueBytes } = this.context.settings;
    const maxMembers = maxGroupMembers(valueBytes);
    if (isGroupSpec(features.replicaGroups, spec) && spec.tasks > maxMembers)
      return `a replica group has ${maxMembers} members at the most`;
    return unschedulableReason(spec, clusterConfig, [...this.context.clusterState.types.values()]);
  }

  /** Returns the reply to a submission with invalid dependencies, or null if they are valid. */
  async #checkDependencies(spec: JobSpec): Promise<Reply | null> {
    if (!spec.awaits.every((id) => this.#jobs.isKnown(id))) {
      // Another controller may have accepted them since the last read.
      try {
        await this.context.watchCache.linearizableRead();
      } catch {
        return this.#unavailable();
      }
    }
    const reason = invalidDependencyReason(spec, this.#jobs);
    return reason === null ? null : refusedUnlessKnown(await this.poll(spec.id), reason);
  }

  /** Returns the reply to a submission whose transaction failed or has an unknown outcome. */
  async #replyAfterFailedCommit(id: string, result: CompareAndSwapResult): Promise<Reply> {
    this.context.log.info({ job: id, result }, 'commit outcome unknown');
    if (result.kind === 'refused' || result.kind === 'invalid') return this.#unavailable();
    // The transaction may have been executed, so the store is read before answering.
    const reply = await this.poll(id);
    return reply.status === 200 ? reply : this.#unavailable();
  }

  /**
   * Replies 200 once the cancellation is stored or if the job had already ended, 404 if it was never accepted, or 503
   * if the outcome is not known or the store can't be reached.
   */
  async cancel(id: string): Promise<Reply> {
    if (!isJobId(id)) return refusal(404, 'no such job');
    const { context } = this;
    const retryUntil = context.clock.now() + CANCEL_RETRY_MS;
    let isTooLarge = false;
    while (!this.#isFinal(id)) {
      let job = this.#jobs.live.get(id);
      if (job === undefined) {
        const reply = await this.poll(id);
        if (reply.status !== 200) return reply;
        job = this.#jobs.live.get(id);
        if (job === undefined || job.isCancelled) break;
      }
      const key = KEYS.job(id);
      const changes = [{ put: key, value: cancelledJobValue(job, isTooLarge) }];
      const isUnchanged = { key, version: job.version };
      const result = await context.keyValueStore.compareAndSwap(
        URGENCY.cancel,
        [isUnchanged],
        changes,
        RATE_LIMIT_WAIT_MS,
      );
      if (result.kind === 'done') {
        context.recordCommit(changes, result.revision);
        context.log.debug({ job: id, assigned: countAssignedUnfinished(job) }, 'cancelled');
        break;
      }
      if (result.kind === 'invalid' && !isTooLarge) {
        isTooLarge = true;
        continue;
      }
      if (result.kind === 'refused' || result.kind === 'invalid' || context.clock.now() > retryUntil)
        return this.#unavailable();
      try {
        await context.watchCache.linearizableRead();
      } catch {
        return this.#unavailable();
      }
    }
    if (this.#jobs.live.get(id)?.isCancelled === true) context.announcements.jobCancelled(id);
    return this.#reply(id, 200);
  }

  get #jobs(): JobTable {
    return this.context.clusterState.jobs;
  }

  /** Whether the job's state in the watch cache is final. */
  #isFinal(id: string): boolean {
    return this.#jobs.outcomes.has(id) || this.#jobs.live.get(id)?.isCancelled === true;
  }

  /** Replies with the job's state in the watch cache and the given status, or 404. */
  #reply(id: string, status: number): Reply {
    const state = jobStateOf(id, this.#jobs, this.runningTasks);
    return state === null ? refusal(404, 'no such job') : { status, body: encodeJobState(state) };
  }

  #unavailable(): Reply {
    return refusal(503, 'state service is out of reach', RETRY_AFTER_S);
  }
}

/**
 * Returns the reply to a submission that fails a check: a refusal, or `polled` if the job was accepted before, perhaps
 * by another controller.
 */
function refusedUnlessKnown(polled: Reply, reason: string): Reply {
  return polled.status === 404 ? refusal(422, reason) : polled;
}
