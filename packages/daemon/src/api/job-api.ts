// What users ask for: submissions, polls and cancellations of jobs.
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
import { cancelledJobValue, jobStateOf, newJobRecord, unfitDependency } from './job-records';
import { malformed, refusal, type Reply } from './reply';

/** Share of a value that the record of a new job leaves free for the ranges in which its tasks are assigned. */
const RANGES_SHARE = 0.25;

/** How long a user's transaction waits for the rate limiter, in milliseconds. */
const PATIENCE_MS = 2000;

/** How long a cancellation is repeated while others change the job's record, in milliseconds. */
const CANCEL_RETRY_MS = 3000;

/** Users whose request can't be answered now may ask again after so many seconds. */
const RETRY_S = 1;

/**
 * Any controller answers for any job. A reply other than 5xx and 429 shows no older state than any reply that any
 * controller has given before the request: it rests on a linearizable read, on a commit of its own, or on a state that
 * can't change any more. Only the number of running tasks may lag, by `DISPLAY_LAG_MS`. A request may be repeated at
 * will; a submission is identified by its job's id.
 */
export class JobApi {
  constructor(
    readonly context: ControllerContext,
    /** How many tasks of a job run now, by the latest statuses of the partitions. */
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
    if (clusterState.types.size === 0) return refusal(503, 'machine types are not known yet', RETRY_S);
    const impossible = this.#impossibleReason(spec);
    if (impossible !== null) return refusedUnlessKnown(await this.poll(id), impossible);
    const refused = await this.#checkDependencies(spec);
    if (refused !== null) return refused;
    const waitMs = keyValueStore.options.rateLimiter.waitMs(URGENCY.accept);
    if (waitMs > PATIENCE_MS) return refusal(429, 'too many requests', Math.ceil(waitMs / 1000));
    const value = jobRecord.write(newJobRecord(spec, this.#jobs, clock.wallNow()));
    if (Buffer.byteLength(JSON.stringify(value)) > settings.valueBytes * (1 - RANGES_SHARE))
      return refusedUnlessKnown(await this.poll(id), 'the description is too long, or too many jobs to wait for');
    const key = KEYS.job(id);
    const changes = [{ put: key, value }];
    const isNew = { key, version: 0 };
    const result = await keyValueStore.compareAndSwap(URGENCY.accept, [isNew], changes, PATIENCE_MS);
    switch (result.kind) {
      case 'done':
        this.context.recordCommit(changes, result.revision);
        this.#logAccepted(spec);
        return this.#reply(id, 201);
      case 'conflict':
        return this.poll(id);
      default:
        return this.#undecided(id, result);
    }
  }

  #logAccepted({ id, jobClass, team, tasks, awaits }: JobSpec): void {
    this.context.log.debug({ job: id, class: jobClass, team, tasks, awaits }, 'accepted');
  }

  /** Why the job can never run; null: it can. */
  #impossibleReason(spec: JobSpec): string | null {
    const { clusterConfig, features, valueBytes } = this.context.settings;
    const maxMembers = maxGroupMembers(valueBytes);
    if (isGroupSpec(features.replicaGroups, spec) && spec.tasks > maxMembers)
      return `a replica group has ${maxMembers} members at the most`;
    return unschedulableReason(spec, clusterConfig, [...this.context.clusterState.types.values()]);
  }

  /** The reply to a submission that names jobs which it can't wait for; null: it can. */
  async #checkDependencies(spec: JobSpec): Promise<Reply | null> {
    if (!spec.awaits.every((id) => this.#jobs.isKnown(id))) {
      // They may have been accepted elsewhere a moment ago.
      try {
        await this.context.watchCache.linearizableRead();
      } catch {
        return this.#unavailable();
      }
    }
    const reason = unfitDependency(spec, this.#jobs);
    return reason === null ? null : refusedUnlessKnown(await this.poll(spec.id), reason);
  }

  async #undecided(id: string, result: CompareAndSwapResult): Promise<Reply> {
    this.context.log.info({ job: id, result }, 'commit outcome unknown');
    if (result.kind === 'refused' || result.kind === 'invalid') return this.#unavailable();
    // Read back before answering: it may have been carried out.
    const reply = await this.poll(id);
    return reply.status === 200 ? reply : this.#unavailable();
  }

  /**
   * Replies 200 once the cancellation is stored, or the job was over before; 404 if it was never accepted; 503 if the
   * outcome is not known or the store can't be reached.
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
      const result = await context.keyValueStore.compareAndSwap(URGENCY.cancel, [isUnchanged], changes, PATIENCE_MS);
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

  /** Whether what the watch cache says of the job can't change any more. */
  #isFinal(id: string): boolean {
    return this.#jobs.outcomes.has(id) || this.#jobs.live.get(id)?.isCancelled === true;
  }

  /** Replies with the job's state in the watch cache and the given status, or 404. */
  #reply(id: string, status: number): Reply {
    const state = jobStateOf(id, this.#jobs, this.runningTasks);
    return state === null ? refusal(404, 'no such job') : { status, body: encodeJobState(state) };
  }

  #unavailable(): Reply {
    return refusal(503, 'state service is out of reach', RETRY_S);
  }
}

/**
 * The reply to a submission that is to be refused. A job that was accepted before, perhaps elsewhere, is never refused
 * now.
 */
function refusedUnlessKnown(polled: Reply, reason: string): Reply {
  return polled.status === 404 ? refusal(422, reason) : polled;
}
