/**
 * The claim table of one partition: which machines send it heartbeats, which tasks are assigned to it, and which
 * machine holds which task. Pure and without a clock: every call is given the time (steady milliseconds).
 *
 * Nothing here is ever guessed. A claim ends only on proof that the task is off the machine: a later heartbeat of its
 * worker, a later agent epoch, the expiry of a lease under this very owner, or the cloud's word.
 */
import type { MachineType, Heartbeat } from '@gingerlock/wire';
import type { Resources } from '../cluster/resources';
import type { ClusterConfig } from '../cluster/cluster-config';
import { AttemptNumbers } from './attempt-numbers';
import { type ClaimTableOptions, withDefaults } from './claim-table-options';
import type { ClaimView } from './claim-view';
import { missingServices, returnableTasks, runningTasks, tasksToFinish } from './claim-queries';
import { type JobEvidence, FailureAttribution } from './failure-attribution';
import { marksCrashLoop, mayStartTask } from './crash-loops';
import { evidenceOn } from './job-evidence';
import { FencingPeriod } from './fencing-period';
import { freeResourcesOn } from './free-resources';
import { cacheOfKnownImages } from './image-cache';
import type { Job } from '../jobs/jobs';
import type { JobTable } from '../jobs/job-table';
import type { MemberPolicy } from './member-policy';
import type { Reservations } from './reservations';
import { HeartbeatReconciler } from './heartbeat-reconciler';
import type { HeartbeatOutcome } from './heartbeat-outcome';
import { MachineTable } from './machine-table';
import type { Machine } from './machine-entry';
import { TaskGranter } from './task-granter';
import { TaskTable } from './task-table';
import type { TaskEntry } from './task-entry';
import {
  fencingTokenOf,
  mayRequestHeartbeat,
  nextHeartbeatInMs,
  raiseFencingToken,
  termOfToken,
} from './fencing-tokens';

/** A worker that may hold earlier tasks and does not take the owner's token is answered so many times. */
const MAX_STALE_TOKEN_ANSWERS = 4;

/** The claim table of one partition under one term of its owner. */
export class ClaimTable implements ClaimView {
  readonly clusterConfig: ClusterConfig;
  readonly partitionId: number;
  /** Number of the owner's term. */
  readonly term: number;
  /** When this owner acquired the partition. */
  readonly openedAt: number;
  readonly log: (message: string, detail: Record<string, unknown>) => void;
  /** Is given what contradicts the safety argument, and so is never expected. */
  readonly alarm: (message: string, detail: Record<string, unknown>) => void;
  readonly failures: FailureAttribution;
  /** Resources that are kept free for certain tasks. */
  reservations: Reservations;
  readonly members: MemberPolicy;
  /** Whether waiting tasks may preempt work of lower priority. */
  readonly preempts: boolean;
  readonly #machineTable: MachineTable;
  readonly #tasks: TaskTable;
  readonly #reconciler: HeartbeatReconciler;
  readonly #granter: TaskGranter;
  readonly #fencingPeriod: FencingPeriod;
  readonly #attemptNumbers: AttemptNumbers;
  /** By machine: the images that an earlier owner believed to be cached there. */
  readonly #inheritedImages: ReadonlyMap<string, readonly string[]>;
  readonly #jobs: JobTable;
  readonly #types: () => ReadonlyMap<string, MachineType>;

  constructor(options: ClaimTableOptions) {
    const given = withDefaults(options);
    const { clusterConfig, partitionId, term, jobs, log, alarm } = given;
    this.clusterConfig = clusterConfig;
    this.partitionId = partitionId;
    this.term = term;
    this.openedAt = given.openedAt;
    this.log = log;
    this.alarm = alarm;
    this.reservations = given.reservations;
    this.members = given.members;
    this.preempts = given.preempts;
    this.#jobs = jobs;
    this.#types = given.types;
    this.#inheritedImages = given.images;
    this.#attemptNumbers = new AttemptNumbers(term, given.attemptsPerTerm);
    this.#fencingPeriod = new FencingPeriod(clusterConfig, given.membership, given.fencedUntil);
    this.failures = new FailureAttribution(clusterConfig);
    this.#machineTable = new MachineTable(clusterConfig, this.failures, alarm);
    this.#tasks = new TaskTable({ partitionId, term, jobs, isFencingOver: () => this.isFencingOver, log, alarm });
    const typeOf = (machine: Machine) => this.typeOf(machine);
    this.#reconciler = new HeartbeatReconciler(clusterConfig, this.#tasks, this.failures, typeOf, alarm);
    this.#granter = new TaskGranter(this, this.#tasks, this.#reconciler, this.#attemptNumbers);
  }

  /** Whether no machine can hold a task of an earlier owner any more. */
  get isFencingOver(): boolean {
    return this.#fencingPeriod.isOver;
  }

  /** Machines of the membership that may run tasks of an earlier owner. */
  get unconfirmedMachines(): ReadonlyMap<string, string> {
    return this.#fencingPeriod.unconfirmedMachines;
  }

  /** When the fencing period ends at the latest, save for machines that this owner has answered itself. */
  get fencedUntil(): number {
    return this.#fencingPeriod.until;
  }

  set fencedUntil(until: number) {
    this.#fencingPeriod.until = until;
  }

  /** Whether the next term should begin, before this one's attempt numbers run out. */
  get needsNewTerm(): boolean {
    return this.#attemptNumbers.needsNewTerm;
  }

  /** The machine types that are known now, by name. */
  get types(): ReadonlyMap<string, MachineType> {
    return this.#types();
  }

  /** The machine's type; undefined: the cloud has not listed it yet. */
  typeOf(machine: Machine): MachineType | undefined {
    return this.#types().get(machine.type);
  }

  // --- tasks -------------------------------------------------------------------------------------------------------

  /** By job and task index. */
  get tasksByJob(): ReadonlyMap<string, ReadonlyMap<number, TaskEntry>> {
    return this.#tasks.tasksByJob;
  }

  /** Goes up with every change that alters free resources or waiting tasks. */
  get changes(): number {
    return this.#tasks.changes;
  }

  /** Counts a change that was made to an entry from outside. */
  noteChange(): void {
    this.#tasks.changes++;
  }

  /** The jobs that may have waiting tasks, in order. */
  wakes(): readonly Job[] {
    return this.#tasks.wakes();
  }

  /** The waiting tasks of the job; none of a cancelled one. */
  waitingTasks(job: Job): Generator<TaskEntry> {
    return this.#tasks.waitingTasks(job);
  }

  /** The recovery scan: from now on the jobs that have a waiting task have a wake, and no others. */
  recoverWakes(): void {
    this.#tasks.recoverWakes();
  }

  /** Brings the tasks of a job in line with its record. Returns the claims that are to be stopped from now on. */
  syncJob(id: string, now: number): readonly TaskEntry[] {
    return this.#tasks.sync(id, now);
  }

  /** The task of this name; undefined: the name is malformed, or the task is not assigned here. */
  findTask(taskName: string): TaskEntry | undefined {
    return this.#tasks.findTask(taskName);
  }

  // --- machines ----------------------------------------------------------------------------------------------------

  /** By name: the machines that have sent a heartbeat to this owner. */
  get machines(): ReadonlyMap<string, Machine> {
    return this.#machineTable.byName;
  }

  /** Notes that the stored membership names the machine, or no longer does. */
  setMember(name: string, isMember: boolean): void {
    this.#machineTable.setMember(name, isMember);
  }

  /** The cloud reports that a machine and all that was on it are gone. */
  removeMachine(name: string, now: number): void {
    this.#machineTable.markGone(name);
    this.#fencingPeriod.confirm(name);
    const machine = this.machines.get(name);
    if (machine === undefined) return;
    this.#tasks.endClaims(machine, now, 'machine gone');
    this.failures.forgetMachine(name);
    this.#machineTable.byName.delete(name);
    this.noteChange();
  }

  /** Whether the cloud has reported the machine gone. */
  isGone(name: string): boolean {
    return this.#machineTable.isGone(name);
  }

  /** Whether the machine has missed so many heartbeats that it may have failed. */
  isSuspect(machine: Machine, now: number): boolean {
    return this.#machineTable.isSuspect(machine, now);
  }

  /** For how long the machine has been silent while this controller was receiving; see `MachineTable.silentMs`. */
  silentMs(machine: Machine, now: number): number {
    return this.#machineTable.silentMs(machine, now);
  }

  /** This controller's event loop stalled and goes on at `now`: heartbeats sent meanwhile are yet to be read. */
  resumedAfterStall(now: number): void {
    this.#machineTable.resumedAfterStall(now);
  }

  /** Whether the machine itself is at fault: several jobs failed on it that run elsewhere. */
  isQuarantined(machine: Machine): boolean {
    return this.failures.isQuarantined(machine.name);
  }

  /** Whether the job failed wherever it was started, by its record or by what was seen in this partition. */
  isCrashLooping(job: Job): boolean {
    return job.isCrashLooping || this.failures.verdictOn(job.id) === 'crash-looping';
  }

  /** Whether a waiting task may be started: of a crash-looping job only a single probe, and once. */
  mayStart(task: TaskEntry): boolean {
    return mayStartTask(task, (job) => this.isCrashLooping(job));
  }

  /** Whether the record of a job of which these tasks are returned to the leader is to mark it as crash-looping. */
  marksCrashLoopOnReturn(job: Job, returned: readonly TaskEntry[], now: number): boolean {
    const { runningOn } = this.#evidenceOn(job.id, now);
    return marksCrashLoop(job, returned, (other) => this.isCrashLooping(other), runningOn);
  }

  #evidenceOn(id: string, now: number): JobEvidence {
    return evidenceOn(this.#jobs, this.tasksByJob, id, now);
  }

  /** What a machine has left after its claims and the orphaned tasks that it reports. */
  freeResources(machine: Machine): Resources {
    return freeResourcesOn(machine, this.typeOf(machine), this.#jobs);
  }

  /** Whether new tasks may be granted to the machine at all. */
  mayTakeWork(machine: Machine, now: number): boolean {
    return this.#machineTable.mayTakeWork(machine, now);
  }

  /** The fencing token of every message to this machine now; undefined: to one that has sent no heartbeat yet. */
  fencingToken(machine: Machine | undefined): number {
    return fencingTokenOf(this.term, machine);
  }

  /** How long until the machine's next heartbeat, about, or 0 if one can be requested. */
  nextHeartbeatInMs(machine: Machine, now: number): number {
    return nextHeartbeatInMs(machine, this.clusterConfig, now);
  }

  /** Whether to request a heartbeat from the machine now; see `mayRequestHeartbeat`. */
  mayRequestHeartbeat(machine: Machine, now: number): boolean {
    return mayRequestHeartbeat(machine, this.clusterConfig, now);
  }

  /** Raises the machine's fencing token and returns it; the caller sends it there, and the worker answers it. */
  requestHeartbeat(machine: Machine, now: number): number {
    raiseFencingToken(machine, now);
    return this.fencingToken(machine);
  }

  // --- heartbeats --------------------------------------------------------------------------------------------------

  /**
   * Accepts or refuses a heartbeat that was received at `now`. `mayGrant` says whether this owner is surely entitled to
   * start tasks now; the caller has made sure that it may answer at all.
   */
  handleHeartbeat(heartbeat: Heartbeat, now: number, mayGrant: boolean): HeartbeatOutcome {
    const term = termOfToken(heartbeat.fencingToken);
    if (term > this.term) return { kind: 'superseded' };
    const refusal = this.#machineTable.refusalOf(heartbeat);
    if (refusal !== null) return refusal;
    const machine = this.machines.get(heartbeat.machine) ?? this.#addMachine(heartbeat, now);
    // The worker's lease expired in between: it has killed and forgotten all that ran before.
    if (heartbeat.agentEpoch > machine.agentEpoch) this.#tasks.endClaims(machine, now, 'new session');
    this.#machineTable.update(machine, heartbeat);
    this.noteChange();
    // A token of this very term is our own: each process acquires a term of its own, also after a restart.
    if (term < this.term) return this.#answerStaleToken(machine, now);
    return this.#answerWithCommands(machine, heartbeat, now, mayGrant);
  }

  #addMachine(heartbeat: Heartbeat, now: number): Machine {
    const { machine: name } = heartbeat;
    const cache = cacheOfKnownImages(this.#inheritedImages.get(name) ?? [], this.#jobs.live.values());
    return this.#machineTable.add(heartbeat, { isMember: this.unconfirmedMachines.has(name), cache }, now);
  }

  /**
   * Answers a worker that has not seen our term. One that goes on without it does not receive our answers, and
   * answering it for ever would keep its lease in doubt for ever, and with it every uncertain task of this partition. A
   * machine that can hold none of those is answered however often: it may have come up unreachable while the partition
   * changed owners.
   */
  #answerStaleToken(machine: Machine, now: number): HeartbeatOutcome {
    machine.hasCurrentToken = false;
    if (this.unconfirmedMachines.has(machine.name) && ++machine.staleTokenAnswers > MAX_STALE_TOKEN_ANSWERS) {
      return { kind: 'refuse', why: 'does not take our token' };
    }
    machine.answeredAt = now;
    return { kind: 'answer', fencingToken: this.fencingToken(machine), commands: [] };
  }

  #answerWithCommands(machine: Machine, heartbeat: Heartbeat, now: number, mayGrant: boolean): HeartbeatOutcome {
    machine.hasCurrentToken = true;
    machine.staleTokenAnswers = 0;
    machine.answeredAt = now;
    const commands = this.#reconciler.reconcile(machine, heartbeat, now);
    this.#fencingPeriod.confirm(machine.name);
    this.#endFencing(now);
    if (mayGrant) commands.push(...this.#granter.grant(machine, now));
    if (machine.claims.size > 0 || heartbeat.tasks.some(({ state }) => state !== 'exited')) machine.emptySince = now;
    return { kind: 'answer', fencingToken: this.fencingToken(machine), commands };
  }

  // --- time --------------------------------------------------------------------------------------------------------

  #endFencing(now: number): void {
    const answeredAt = (name: string) => this.machines.get(name)?.answeredAt ?? null;
    if (this.isFencingOver || !this.#fencingPeriod.tryEnd(now, answeredAt)) return;
    this.#tasks.releaseUncertain(now);
    this.log('fencing period over', { partitionId: this.partitionId, term: this.term });
  }

  /**
   * Ends what time alone ends. Returns the machines that hold nothing any more and may leave the membership: their
   * lease has expired, or the fencing period has passed without a heartbeat of theirs.
   */
  tick(now: number): string[] {
    const expired = this.#expireLeases(now);
    this.#endFencing(now);
    this.failures.review((job) => this.#evidenceOn(job, now));
    return [...expired, ...this.#fencingPeriod.takeExpiredMachines()];
  }

  /** Ends the claims of machines whose lease has surely expired; returns those that had this owner's token. */
  #expireLeases(now: number): string[] {
    const expired: string[] = [];
    for (const machine of this.#machineTable.expireLeases(now)) {
      if (!machine.hasCurrentToken) continue;
      this.#tasks.endClaims(machine, now, 'lease ran out');
      this.#fencingPeriod.confirm(machine.name);
      expired.push(machine.name);
    }
    return expired;
  }

  // --- what the owner reads and writes ----------------------------------------------------------------------------

  /** The tasks that can be returned to the leader, by job; see `returnableTasks`. */
  returnable(unschedulable: readonly TaskEntry[], now: number): Map<string, TaskEntry[]> {
    return returnableTasks(this, unschedulable, now);
  }

  /** The write that returns these tasks to the leader is under way: until its outcome is known none is granted. */
  beginReturn(tasks: readonly TaskEntry[], now: number): void {
    this.#tasks.beginReturn(tasks, now);
  }

  /** The write that would have returned these tasks did not happen and never will. */
  cancelReturn(tasks: readonly TaskEntry[], now: number): void {
    this.#tasks.cancelReturn(tasks, now);
  }

  /** The completed tasks that are to be written now, by job; see `tasksToFinish`. */
  tasksToFinish(now: number, patienceMs: number): Map<string, TaskEntry[]> {
    return tasksToFinish(this, now, patienceMs);
  }

  /** What the services' tasks that no machine has reported add up to; see `missingServices`. */
  missingServices(now: number): Resources {
    return missingServices(this, now);
  }

  /** How many tasks of each job run here, for display. */
  runningTasks(): Map<string, number> {
    return runningTasks(this);
  }
}
