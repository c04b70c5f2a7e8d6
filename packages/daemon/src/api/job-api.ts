// What users ask for: submissions, polls and cancellations.
import { type CompareAndSwapResult, URGENCY } from '@gingerlock/clients';
import { coverPerPartition, assignedUnfinished, type Job, unschedulableReason } from '@gingerlock/core';
import { isGroupSpec } from '@gingerlock/replica-groups';
import {
  decodeSubmission,
  encodeJobState,
  isJobId,
  jobRecord,
  type JobRecord,
  type JobSpec,
  type JobState,
  KEYS,
  MalformedMessageError,
  mostMembers,
} from '@gingerlock/wire';
import { refusal, type Reply } from './reply';
import type { ControllerContext } from '../controller/controller-context';

/** Share of a value that the record of a new job leaves free for the rounds in which its tasks are assigned. */
const RANGES_SHARE = 0.25;

/** Why the jobs that a submission names are no jobs it can wait for. */
function unfitDependency(spec: JobSpec, live: ReadonlyMap<string, Job>): string | null {
  if (spec.awaits.includes(spec.id)) return 'awaits: the job itself';
  const service = spec.awaits.find((id) => live.get(id)?.spec.kind === 'service');
  return service === undefined ? null : `awaits: ${service} is a service, which is never done`;
}

export class JobApi {
  constructor(
    readonly context: ControllerContext,
    /** How many tasks of a job run now, as far as we have heard. */
    readonly running: (id: string) => number,
  ) {}

  #jobStateOf(id: string): JobState | null {
    const final = this.context.clusterState.jobs.finals.get(id);
    if (final !== undefined) return { id, status: final };
    const job = this.context.clusterState.jobs.live.get(id);
    if (job === undefined) return null;
    if (job.cancelled) return { id, status: 'cancelled' };
    const running = this.running(id);
    return { id, status: running > 0 ? 'running' : 'queued', done: job.finishedCount, running };
  }

  #reply(id: string, status: number): Reply {
    const state = this.#jobStateOf(id);
    return state === null ? refusal(404, 'no such job') : { status, body: encodeJobState(state) };
  }

  /** Whether what the replica says of the job can not change any more. */
  #isFinal(id: string): boolean {
    return (
      this.context.clusterState.jobs.finals.has(id) || this.context.clusterState.jobs.live.get(id)?.cancelled === true
    );
  }

  #isKnown(id: string): boolean {
    return this.context.clusterState.jobs.finals.has(id) || this.context.clusterState.jobs.live.has(id);
  }

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

  #unavailable(): Reply {
    return refusal(503, 'state service is out of reach', 1);
  }

  async submit(body: Buffer): Promise<Reply> {
    let spec: JobSpec;
    try {
      spec = decodeSubmission(body);
    } catch (error) {
      return refusal(400, error instanceof MalformedMessageError ? error.message : 'malformed');
    }
    const { id } = spec;
    if (this.#isKnown(id)) return this.poll(id);
    if (this.context.clusterState.types.size === 0) return refusal(503, 'machine types are not known yet', 1);
    const never = this.#whyNever(spec);
    if (never !== null) {
      // Another controller may have accepted it under other settings or types.
      const known = await this.poll(id);
      return known.status === 404 ? refusal(422, never) : known;
    }
    const refused = await this.#checkDependencies(spec);
    if (refused !== null) return refused;
    const wait = this.context.keyValueStore.options.rateLimiter.waitMs(URGENCY.accept);
    if (wait > 2000) return refusal(429, 'too many requests', Math.ceil(wait / 1000));
    const key = KEYS.job(id);
    const value = jobRecord.write(this.#newRecord(spec));
    const remaining = this.context.settings.valueBytes * (1 - RANGES_SHARE);
    if (Buffer.byteLength(JSON.stringify(value)) > remaining) {
      const known = await this.poll(id);
      return known.status === 404 ? refusal(422, 'the description is too long, or too many jobs to wait for') : known;
    }
    const changes = [{ put: key, value }];
    const result = await this.context.keyValueStore.compareAndSwap(
      URGENCY.accept,
      [{ key, version: 0 }],
      changes,
      2000,
    );
    switch (result.kind) {
      case 'done':
        this.context.recordCommit(changes, result.revision);
        this.context.log.debug(
          { job: id, class: spec.jobClass, team: spec.team, tasks: spec.tasks, awaits: spec.awaits },
          'accepted',
        );
        return this.#reply(id, 201);
      case 'conflict':
        return this.poll(id);
      default:
        return this.#undecided(id, result);
    }
  }

  /** Why the job can never run; null: it can. */
  #whyNever(spec: JobSpec): string | null {
    const { clusterConfig, features, valueBytes } = this.context.settings;
    const most = mostMembers(valueBytes);
    if (isGroupSpec(features.replicaGroups, spec) && spec.tasks > most)
      return `a replica group has ${most} members at the most`;
    return unschedulableReason(spec, clusterConfig, [...this.context.clusterState.types.values()]);
  }

  /** The answer to a submission that names jobs which it can't wait for; null: it can. */
  async #checkDependencies(spec: JobSpec): Promise<Reply | null> {
    const { jobs } = this.context.clusterState;
    if (!spec.awaits.every((id) => jobs.isKnown(id))) {
      // They may have been accepted elsewhere a moment ago.
      try {
        await this.context.watchCache.linearizableRead();
      } catch {
        return this.#unavailable();
      }
    }
    const unknown = spec.awaits.find((id) => !jobs.isKnown(id));
    const why = unknown === undefined ? unfitDependency(spec, jobs.live) : `awaits: ${unknown} was never accepted`;
    if (why === null) return null;
    // Accepted before, the job is never refused now.
    const known = await this.poll(spec.id);
    return known.status === 404 ? refusal(422, why) : known;
  }

  /** Dependencies that are done need not be kept: they remain so. With a cancelled one the job is cancelled at once. */
  #newRecord(spec: JobSpec): JobRecord {
    const { finals } = this.context.clusterState.jobs;
    if (spec.awaits.some((id) => finals.get(id) === 'cancelled')) return { final: 'cancelled' };
    const awaits = spec.awaits.filter((id) => finals.get(id) !== 'done');
    return {
      final: null,
      spec: { ...spec, awaits },
      acceptedAt: this.context.clock.wall(),
      cancelled: false,
      isCrashLooping: false,
      assignedRanges: [],
    };
  }

  async #undecided(id: string, result: CompareAndSwapResult): Promise<Reply> {
    this.context.log.info({ job: id, result }, 'commit outcome unknown');
    if (result.kind === 'refused' || result.kind === 'invalid') return this.#unavailable();
    // Read back before answering: it may have been carried out.
    const reply = await this.poll(id);
    return reply.status === 200 ? reply : this.#unavailable();
  }

  /** `outgrown`: the record was stored under a larger limit on values, and refused as it is. */
  #cancelledRecord(job: Job, outgrown: boolean): unknown {
    const { spec, acceptedAt } = job;
    // With nothing assigned there is nothing to stop: the record closes at once.
    if (job.assignedRanges.length === 0) return jobRecord.write({ final: 'cancelled' });
    const assignedRanges = outgrown ? coverPerPartition(job.assignedRanges) : job.assignedRanges;
    return jobRecord.write({
      final: null,
      spec,
      acceptedAt,
      cancelled: true,
      isCrashLooping: job.isCrashLooping,
      assignedRanges,
    });
  }

  async cancel(id: string): Promise<Reply> {
    if (!isJobId(id)) return refusal(404, 'no such job');
    const until = this.context.clock.now() + 3000;
    let outgrown = false;
    while (!this.#isFinal(id)) {
      let job: Job | undefined = this.context.clusterState.jobs.live.get(id);
      if (job === undefined) {
        const reply = await this.poll(id);
        if (reply.status !== 200) return reply;
        job = this.context.clusterState.jobs.live.get(id);
        if (job === undefined || job.cancelled) break;
      }
      const key = KEYS.job(id);
      const changes = [{ put: key, value: this.#cancelledRecord(job, outgrown) }];
      const result = await this.context.keyValueStore.compareAndSwap(
        URGENCY.cancel,
        [{ key, version: job.version }],
        changes,
        2000,
      );
      if (result.kind === 'invalid' && !outgrown) {
        outgrown = true;
        continue;
      }
      if (result.kind === 'done') {
        this.context.recordCommit(changes, result.revision);
        this.context.log.debug({ job: id, assigned: assignedUnfinished(job) }, 'cancelled');
        break;
      }
      if (result.kind === 'refused' || result.kind === 'invalid' || this.context.clock.now() > until)
        return this.#unavailable();
      try {
        await this.context.watchCache.linearizableRead();
      } catch {
        return this.#unavailable();
      }
    }
    if (this.context.clusterState.jobs.live.get(id)?.cancelled === true) this.context.announcements.jobCancelled(id);
    return this.#reply(id, 200);
  }
}
