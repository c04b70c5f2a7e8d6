// The claim table of one part: which machines report to it, which tasks were assigned to it, and which machine holds which
// task. Pure and clock-free: every call is told the time (steady milliseconds).
//
// Nothing here is ever guessed. A claim ends only when the worker's own later report, a later session, its lease run out
// under this very owner, or the cloud's word proves that the task is off the machine.
import { type MachineType, parseTaskName, type WorkerCommand, type Heartbeat } from '@gingerlock/wire';
import { type Resources, NO_RESOURCES, subtractResources } from '../cluster/resources';
import { type ClusterConfig, SUSPECT_INTERVALS, workerLeaseBoundMs } from '../cluster/cluster-config';
import type { ClaimView } from './claim-view';
import { missingServices, returnableTasks, runningTasks, tasksToFinish } from './claim-queries';
import { type JobEvidence, FailureAttribution } from './failure-attribution';
import { evidenceOn } from './job-evidence';
import { FencingPeriod } from './fencing-period';
import { GrantCapacity } from './grant-capacity';
import { bindable } from './granting';
import { ImageCache } from './image-cache';
import { assignedUnfinished } from '../jobs/assigned-usage';
import type { Job } from '../jobs/jobs';
import type { JobTable } from '../jobs/job-table';
import { type MemberPolicy, NO_MEMBERS } from './member-policy';
import { NO_RESERVATIONS, type Reservations } from './reservations';
import { HeartbeatReconciler } from './heartbeat-reconciler';
import { TaskTable } from './task-table';
import { type Machine, newMachine, type TaskEntry } from './task-entry';
import { TOKENS_PER_TERM, mayRequestHeartbeat, nextHeartbeatInMs, termOfToken } from './fencing-tokens';

export type HeartbeatOutcome =
  | { readonly kind: 'answer'; readonly fencingToken: number; readonly commands: WorkerCommand[] }
  /** An older copy, or one that must not be answered: it changes nothing and renews nothing. */
  | { readonly kind: 'refuse'; readonly why: string }
  /** The worker has seen a higher token: somebody else owns this part. */
  | { readonly kind: 'superseded' };

/** Attempts of one term are numbered below this; a term times this is far below 2^53. */
export const ATTEMPTS_PER_TERM = 2 ** 20;

/** Once this share of a term's attempts is used, the partition is taken anew, under another term. */
const NEW_TERM_SHARE = 0.75;

/** A worker that may hold earlier tasks and does not take the owner's token is answered so many times. */
const MAX_STALE_TOKEN_ANSWERS = 4;

export interface ClaimTableOptions {
  readonly clusterConfig: ClusterConfig;
  readonly partitionId: number;
  readonly term: number;
  readonly fencedUntil: number;
  /** When this owner took the part over. */
  readonly openedAt: number;
  readonly jobs: JobTable;
  readonly types: () => ReadonlyMap<string, MachineType>;
  readonly membership: Iterable<readonly [string, string]>;
  /** Room that is kept for certain tasks. */
  readonly reservations?: Reservations;
  /** Decides over the members of replica groups. */
  readonly members?: MemberPolicy;
  /** Whether waiting tasks may have work of lower priority stopped. */
  readonly preempts?: boolean;
  /** How many tasks may be granted under this term. */
  readonly attemptsPerTerm?: number;
  /** By machine: the images that an earlier owner believed to be cached there. */
  readonly images?: ReadonlyMap<string, readonly string[]>;
  readonly log?: (message: string, detail: Record<string, unknown>) => void;
  /** Hears of what contradicts the safety argument, and so is never expected. */
  readonly alarm?: (message: string, detail: Record<string, unknown>) => void;
}

export class ClaimTable implements ClaimView {
  readonly clusterConfig: ClusterConfig;
  readonly partitionId: number;
  readonly term: number;
  readonly openedAt: number;
  readonly machines = new Map<string, Machine>();
  readonly #tasks: TaskTable;
  readonly #reconciler: HeartbeatReconciler;
  readonly #fencingPeriod: FencingPeriod;
  readonly #goneNames = new Set<string>();
  readonly #images: ReadonlyMap<string, readonly string[]>;
  readonly #jobs: JobTable;
  readonly #types: () => ReadonlyMap<string, MachineType>;
  readonly log: (message: string, detail: Record<string, unknown>) => void;
  readonly alarm: (message: string, detail: Record<string, unknown>) => void;
  readonly failures: FailureAttribution;
  reservations: Reservations;
  readonly members: MemberPolicy;
  readonly preempts: boolean;
  readonly #attemptsPerTerm: number;
  #counter = 0;
  /** Since when this controller has listened without standing still. */
  #listeningSince = -Infinity;

  constructor(options: ClaimTableOptions) {
    this.clusterConfig = options.clusterConfig;
    this.partitionId = options.partitionId;
    this.term = options.term;
    this.openedAt = options.openedAt;
    this.#jobs = options.jobs;
    this.#types = options.types;
    this.#fencingPeriod = new FencingPeriod(options.clusterConfig, options.membership, options.fencedUntil);
    this.#images = options.images ?? new Map();
    this.reservations = options.reservations ?? NO_RESERVATIONS;
    this.members = options.members ?? NO_MEMBERS;
    this.preempts = options.preempts ?? true;
    this.#attemptsPerTerm = options.attemptsPerTerm ?? ATTEMPTS_PER_TERM;
    this.failures = new FailureAttribution(options.clusterConfig);
    this.log = options.log ?? (() => undefined);
    this.alarm = options.alarm ?? (() => undefined);
    this.#tasks = new TaskTable({
      partitionId: options.partitionId,
      term: options.term,
      jobs: options.jobs,
      isFencingOver: () => this.isFencingOver,
      log: this.log,
      alarm: this.alarm,
    });
    this.#reconciler = new HeartbeatReconciler(
      this.clusterConfig,
      this.#tasks,
      this.failures,
      (machine) => this.typeOf(machine),
      this.alarm,
    );
  }

  get isFencingOver(): boolean {
    return this.#fencingPeriod.isOver;
  }

  /** Machines of the membership that may run tasks of an earlier owner. */
  get unconfirmedMachines(): ReadonlyMap<string, string> {
    return this.#fencingPeriod.unconfirmedMachines;
  }

  get fencedUntil(): number {
    return this.#fencingPeriod.until;
  }

  set fencedUntil(until: number) {
    this.#fencingPeriod.until = until;
  }

  /** Whether so many tasks were granted under this term that the next one should begin before the numbers run out. */
  get needsNewTerm(): boolean {
    return this.#counter > this.#attemptsPerTerm * NEW_TERM_SHARE;
  }

  get types(): ReadonlyMap<string, MachineType> {
    return this.#types();
  }

  typeOf(machine: Machine): MachineType | undefined {
    return this.#types().get(machine.type);
  }

  // --- tasks -------------------------------------------------------------------------------------------------------

  get tasksByJob(): ReadonlyMap<string, ReadonlyMap<number, TaskEntry>> {
    return this.#tasks.tasksByJob;
  }

  /** Goes up with every change that alters rooms or waiting tasks. */
  get changes(): number {
    return this.#tasks.changes;
  }

  noteChange(): void {
    this.#tasks.changes++;
  }

  /** The jobs that may have waiting tasks, in order. */
  wakes(): readonly Job[] {
    return this.#tasks.wakes();
  }

  waitingTasks(job: Job): Generator<TaskEntry> {
    return this.#tasks.waitingTasks(job);
  }

  /** The recovery scan: posts every job that has a waiting task and no wake, drops wakes that have none. */
  scan(): void {
    this.#tasks.scan();
  }

  /** Brings the slots of a job in line with its record. Returns the claims that are to be stopped from now on. */
  syncJob(id: string, now: number): readonly TaskEntry[] {
    return this.#tasks.sync(id, now);
  }

  findTask(taskName: string): TaskEntry | undefined {
    return this.#tasks.findTask(taskName);
  }

  // --- machines ----------------------------------------------------------------------------------------------------

  setMember(name: string, isMember: boolean): void {
    const machine = this.machines.get(name);
    if (machine !== undefined) machine.isMember = isMember;
  }

  /** The cloud's word that a machine and all that was on it are gone. */
  gone(name: string, now: number): void {
    this.#goneNames.add(name);
    this.#fencingPeriod.confirm(name);
    const machine = this.machines.get(name);
    if (machine === undefined) return;
    this.#endClaims(machine, now, 'machine gone');
    this.failures.forgetMachine(name);
    this.machines.delete(name);
    this.noteChange();
  }

  isGone(name: string): boolean {
    return this.#goneNames.has(name);
  }

  #endClaims(machine: Machine, now: number, why: string): void {
    for (const task of [...machine.claims.values()]) {
      this.#tasks.claimEnded(task, why, now);
    }
  }

  isSuspect(machine: Machine, now: number): boolean {
    return this.silentMs(machine, now) > this.clusterConfig.heartbeatIntervalMs * SUSPECT_INTERVALS;
  }

  /**
   * For how long the machine could have been heard and was not: time in which this controller itself stood still says nothing of it.
   * For suspicion only; a lease runs out by the clock. Infinity: it is not known to have a lease.
   */
  silentMs(machine: Machine, now: number): number {
    return machine.answeredAt === null ? Infinity : now - Math.max(machine.answeredAt, this.#listeningSince);
  }

  /** This controller stood still and goes on now: what machines have sent meanwhile is yet to be taken in. */
  resumedAfterStall(now: number): void {
    this.#listeningSince = now;
    // Answers from before the stall have come too late, whatever became of them.
    for (const machine of this.machines.values()) machine.unacknowledgedAnswers = 0;
  }

  /** A machine on which several jobs failed that run elsewhere is itself at fault. */
  isQuarantined(machine: Machine): boolean {
    return this.failures.isQuarantined(machine.name);
  }

  /** Whether the job failed wherever it was started, as its record or this partition has it. */
  isCrashLooping(job: Job): boolean {
    return job.isCrashLooping || this.failures.verdictOn(job.id) === 'crash-looping';
  }

  /** Whether a waiting task may be started: of a failing job only one that the leader has assigned alone, and once. */
  mayStart({ job, failures }: TaskEntry): boolean {
    return !this.isCrashLooping(job) || (job.isCrashLooping && failures === 0 && assignedUnfinished(job) <= 1);
  }

  /** Whether the record of a job of which these tasks are given back is to say that it is failing. */
  marksCrashLoopOnReturn(job: Job, returned: readonly TaskEntry[], now: number): boolean {
    if (job.finishedCount > 0) return false;
    // No machine here is left to try it on: elsewhere it is tried as one that may fail again.
    const failedHere = returned.some((task) => task.failures > 0) && this.#evidenceOn(job.id, now).runningOn === 0;
    return failedHere || this.isCrashLooping(job);
  }

  #evidenceOn(id: string, now: number): JobEvidence {
    return evidenceOn(this.#jobs, this.tasksByJob, id, now);
  }

  /** What a machine has left, by its claims and by strays that it reports. */
  freeResources(machine: Machine): Resources {
    const type = this.typeOf(machine);
    if (type === undefined) return NO_RESOURCES;
    let available: Resources = { cpus: type.cpus, gpus: type.gpus, memoryGb: type.memoryGb };
    for (const task of machine.claims.values()) available = subtractResources(available, task.job.spec);
    for (const reported of machine.reportedTasks) {
      if (reported.state === 'exited' || machine.claims.has(reported.task)) continue;
      const parsed = parseTaskName(reported.task);
      const spec = parsed === null ? undefined : this.#jobs.live.get(parsed.job)?.spec;
      // A stray of unknown size: nothing is known to be free until it is gone.
      if (spec === undefined) return NO_RESOURCES;
      available = subtractResources(available, spec);
    }
    return available;
  }

  /** Whether new work may be bound to the machine at all. */
  takesWork(machine: Machine, now: number): boolean {
    return (
      machine.hasCurrentToken &&
      !machine.draining &&
      !machine.evictionNotice &&
      !this.isQuarantined(machine) &&
      !this.failures.isOnProbation(machine.name, now) &&
      now >= machine.unreachableUntil &&
      !this.isSuspect(machine, now)
    );
  }

  /** The token of every message to this machine now. */
  fencingToken(machine: Machine | undefined): number {
    return this.term * TOKENS_PER_TERM + (machine?.heartbeatRequests ?? 0);
  }

  nextHeartbeatInMs(machine: Machine, now: number): number {
    return nextHeartbeatInMs(machine, this.clusterConfig, now);
  }

  mayRequestHeartbeat(machine: Machine, now: number): boolean {
    return mayRequestHeartbeat(machine, this.clusterConfig, now);
  }

  /** Raises the machine's token; the caller sends it there. */
  requestHeartbeat(machine: Machine, now: number): number {
    machine.heartbeatRequests++;
    machine.heartbeatRequestedAt = now;
    return this.fencingToken(machine);
  }

  // --- reports -----------------------------------------------------------------------------------------------------

  /**
   * Takes a report received at `now`. `mayGrant` says whether this owner is surely entitled to start tasks now; the
   * caller has made sure that it may answer at all.
   */
  handleHeartbeat(heartbeat: Heartbeat, now: number, mayGrant: boolean): HeartbeatOutcome {
    const term = termOfToken(heartbeat.fencingToken);
    if (term > this.term) return { kind: 'superseded' };
    const known = this.machines.get(heartbeat.machine);
    const why = this.#refusalReason(heartbeat, known);
    if (why !== null) return { kind: 'refuse', why };
    const m = known ?? this.#addMachine(heartbeat, now);
    // The worker's lease expired in between: it has killed and forgotten all that ran before.
    if (heartbeat.agentEpoch > m.agentEpoch) this.#endClaims(m, now, 'new session');
    m.addr = heartbeat.addr;
    m.agentEpoch = heartbeat.agentEpoch;
    m.sequenceNumber = heartbeat.sequenceNumber;
    m.evictionNotice = heartbeat.noticeS !== null;
    m.reportedTasks = heartbeat.tasks;
    this.noteChange();
    // An earlier process of ours under this very term can't be: every process takes a partition under a term of its own.
    return term < this.term ? this.#answerStaleToken(m, now) : this.#answerWithCommands(m, heartbeat, now, mayGrant);
  }

  /** Why a report is not to be answered: it changes nothing and renews nothing; null: it is taken. */
  #refusalReason(heartbeat: Heartbeat, known: Machine | undefined): string | null {
    if (this.#goneNames.has(heartbeat.machine)) return 'machine was returned';
    if (known === undefined) return null;
    if (
      heartbeat.agentEpoch < known.agentEpoch ||
      (heartbeat.agentEpoch === known.agentEpoch && heartbeat.sequenceNumber <= known.sequenceNumber)
    ) {
      return 'older copy of a report';
    }
    if (heartbeat.type === known.type && heartbeat.zone === known.zone && heartbeat.spot === known.spot) return null;
    this.alarm('heartbeat contradicts earlier ones of its machine', { machine: heartbeat.machine });
    return 'contradicts earlier reports';
  }

  #addMachine(heartbeat: Heartbeat, now: number): Machine {
    const machine = newMachine(
      heartbeat,
      { isMember: this.unconfirmedMachines.has(heartbeat.machine), cache: this.#inherited(heartbeat.machine) },
      now,
    );
    this.machines.set(heartbeat.machine, machine);
    return machine;
  }

  /**
   * Answers a worker that has not seen our term. One that goes on without it does not get our answers, and answering it for ever
   * would keep its lease in doubt for ever, and with it every uncertain task of this partition. A machine that can't hold any of
   * those is answered: one that came up deaf while a partition changed hands was once refused ever after.
   */
  #answerStaleToken(m: Machine, now: number): HeartbeatOutcome {
    m.hasCurrentToken = false;
    if (this.unconfirmedMachines.has(m.name) && ++m.staleTokenAnswers > MAX_STALE_TOKEN_ANSWERS) {
      return { kind: 'refuse', why: 'does not take our token' };
    }
    m.answeredAt = now;
    return { kind: 'answer', fencingToken: this.fencingToken(m), commands: [] };
  }

  #answerWithCommands(m: Machine, heartbeat: Heartbeat, now: number, mayGrant: boolean): HeartbeatOutcome {
    m.hasCurrentToken = true;
    m.staleTokenAnswers = 0;
    m.answeredAt = now;
    const commands = this.#reconciler.reconcile(m, heartbeat, now);
    this.#fencingPeriod.confirm(m.name);
    this.#endFencing(now);
    if (mayGrant) this.#grant(m, now, commands);
    if (m.claims.size > 0 || heartbeat.tasks.some((t) => t.state !== 'exited')) m.emptySince = now;
    return { kind: 'answer', fencingToken: this.fencingToken(m), commands };
  }

  /** What an earlier owner knew of a machine's cache. It is a guess like our own: a wrong one costs a fetch. */
  #inherited(machine: string): ImageCache {
    const sizes = new Map<string, number>();
    for (const { spec } of this.#jobs.live.values()) sizes.set(spec.image, spec.imageGb);
    const images = this.#images.get(machine) ?? [];
    return new ImageCache(
      images.filter((image) => sizes.has(image)).map((image) => [image, sizes.get(image)!] as const),
    );
  }

  /** Binds waiting tasks to the machine that reports now. */
  #grant(m: Machine, now: number, commands: WorkerCommand[]): void {
    if (!m.isMember || !this.takesWork(m, now)) return;
    const capacity = new GrantCapacity(this.freeResources(m), this.reservations, m.name);
    for (const task of bindable(this, m, capacity, now)) {
      // A number that was given out is never given out again: it would be taken for the task of the next term.
      if (this.#counter >= this.#attemptsPerTerm - 1) return;
      commands.push(this.#bind(m, task, now));
      capacity.take(task);
    }
  }

  #bind(m: Machine, task: TaskEntry, now: number): WorkerCommand {
    const attempt = this.term * ATTEMPTS_PER_TERM + ++this.#counter;
    const cached = m.cache.has(task.job.spec.image);
    const waitedMs = Math.round(now - task.since);
    this.#tasks.transition(task, 'claimed', now, {
      machine: m,
      attempt,
      agentEpoch: m.agentEpoch,
      grantedAt: now,
      stage: 'granted',
      runningSince: null,
      stopGraceS: null,
    });
    task.isRelocating = false;
    task.startedIn = this.members.generationOf(task.job);
    this.log('task granted', { task: task.name, machine: m.name, attempt, cached, waitedMs });
    this.#reconciler.useImage(m, task.job);
    return { op: 'start', task: task.name, attempt };
  }

  // --- time --------------------------------------------------------------------------------------------------------

  #endFencing(now: number): void {
    if (this.isFencingOver || !this.#fencingPeriod.tryEnd(now, (name) => this.machines.get(name)?.answeredAt ?? null))
      return;
    for (const tasksByIndex of this.tasksByJob.values()) {
      for (const task of tasksByIndex.values())
        if (task.state === 'uncertain') this.#tasks.transition(task, 'waiting', now);
    }
    this.log('fencing period over', { partitionId: this.partitionId, term: this.term });
  }

  /** Ends what time alone ends; returns the machines whose lease has run out, or that surely hold nothing since the fencing period. */
  tick(now: number): string[] {
    const expired: string[] = [];
    const bound = workerLeaseBoundMs(this.clusterConfig);
    for (const m of this.machines.values()) {
      if (m.answeredAt === null || now <= m.answeredAt + bound) continue;
      m.answeredAt = null;
      m.reportedTasks = [];
      if (m.hasCurrentToken) {
        this.#endClaims(m, now, 'lease ran out');
        this.#fencingPeriod.confirm(m.name);
        expired.push(m.name);
      }
    }
    this.#endFencing(now);
    this.failures.review((job) => this.#evidenceOn(job, now));
    return [...expired, ...this.#fencingPeriod.takeExpiredMachines()];
  }

  /** The tasks that can be given back to the leader, by job; see `returnableTasks`. */
  returnable(unschedulable: readonly TaskEntry[], now: number): Map<string, TaskEntry[]> {
    return returnableTasks(this, unschedulable, now);
  }

  /** The record's change is on its way: until its outcome is known nobody may be granted these. */
  beginReturn(tasks: readonly TaskEntry[], now: number): void {
    for (const task of tasks) {
      if (task.state !== 'waiting') continue;
      this.#tasks.transition(task, 'returning', now);
      task.returningVersion = task.job.version;
    }
  }

  /** The change that would have given these back did not happen and never will. */
  cancelReturn(tasks: readonly TaskEntry[], now: number): void {
    for (const task of tasks)
      if (task.state === 'returning' && this.findTask(task.name) === task) this.#tasks.transition(task, 'waiting', now);
  }

  /** The completed tasks that are to be written now, by job; see `tasksToFinish`. */
  tasksToFinish(now: number, patienceMs: number): Map<string, TaskEntry[]> {
    return tasksToFinish(this, now, patienceMs);
  }

  /** What services lack whose tasks nobody has reported; see `missingServices`. */
  missingServices(now: number): Resources {
    return missingServices(this, now);
  }

  /** How many tasks of each job run here, for display. */
  runningTasks(): Map<string, number> {
    return runningTasks(this);
  }
}
