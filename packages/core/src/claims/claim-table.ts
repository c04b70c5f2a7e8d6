/**
 * The claim table of one partition: which machines send it heartbeats, which tasks are assigned to it, and which
 * machine holds which task. The table is pure and has no clock: callers pass the time, in steady milliseconds.
 *
 * A claim ends only on proof that the task does not run on the machine any more: a later heartbeat of its worker, a
 * later agent epoch, the expiry of a lease under this owner, or the cloud's report that the machine is gone.
 */
import type { MachineType, Heartbeat } from '@gingerlock/wire';
import type { Resources } from '../cluster/resources';
import type { ClusterConfig } from '../cluster/cluster-config';
import type { Job } from '../jobs/jobs';
import type { JobTable } from '../jobs/job-table';
import { AttemptNumbers } from './attempt-numbers';
import { type ClaimTableOptions, withDefaults } from './claim-table-options';
import type { ClaimView } from './claim-view';
import { missingServiceResources, returnableTasks, runningTasks, tasksToFinish } from './claim-queries';
import { type JobEvidence, FailureAttribution } from './failure-attribution';
import { marksCrashLoop, mayStartTask } from './crash-loops';
import { evidenceOn } from './job-evidence';
import { FencingPeriod } from './fencing-period';
import { freeResourcesOn } from './free-resources';
import { cacheOfKnownImages } from './image-cache';
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

/** How many heartbeats with a stale token are answered in a row if the machine may hold tasks of an earlier owner. */
const MAX_STALE_TOKEN_ANSWERS = 4;

/** The claim table of one partition under one ownership term. */
export class ClaimTable implements ClaimView {
  readonly clusterConfig: ClusterConfig;
  readonly partitionId: number;
  /** Number of the ownership term. */
  readonly term: number;
  /** When this owner acquired the partition. */
  readonly acquiredAt: number;
  readonly log: (message: string, detail: Record<string, unknown>) => void;
  /** Called on an event that contradicts the safety argument, and so is never expected. */
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
  /** The images that an earlier owner believed to be cached on a machine, by machine name. */
  readonly #inheritedImages: ReadonlyMap<string, readonly string[]>;
  readonly #jobs: JobTable;
  readonly #types: () => ReadonlyMap<string, MachineType>;

  constructor(options: ClaimTableOptions) {
    const resolvedOptions = withDefaults(options);
    const { clusterConfig, partitionId, term, jobs, log, alarm } = resolvedOptions;
    this.clusterConfig = clusterConfig;
    this.partitionId = partitionId;
    this.term = term;
    this.acquiredAt = resolvedOptions.acquiredAt;
    this.log = log;
    this.alarm = alarm;
    this.reservations = resolvedOptions.reservations;
    this.members = resolvedOptions.members;
    this.preempts = resolvedOptions.preempts;
    this.#jobs = jobs;
    this.#types = resolvedOptions.types;
    this.#inheritedImages = resolvedOptions.images;
    this.#attemptNumbers = new AttemptNumbers(term, resolvedOptions.attemptsPerTerm);
    this.#fencingPeriod = new FencingPeriod(clusterConfig, resolvedOptions.membership, resolvedOptions.fencedUntil);
    this.failures = new FailureAttribution(clusterConfig);
    this.#machineTable = new MachineTable(clusterConfig, this.failures, alarm);
    this.#tasks = new TaskTable({ partitionId, term, jobs, isFencingOver: () => this.isFencingOver, log, alarm });
    const typeOf = (machine: Machine) => this.typeOf(machine);
    this.#reconciler = new HeartbeatReconciler(clusterConfig, this.#tasks, this.failures, typeOf, alarm);
    this.#granter = new TaskGranter(this, this.#tasks, this.#reconciler, this.#attemptNumbers);
  }

  /** Whether the fencing period is over: no machine can hold an unreported task of an earlier owner any more. */
  get isFencingOver(): boolean {
    return this.#fencingPeriod.isOver;
  }

  /** Addresses of the machines in the membership that may run tasks of an earlier owner, by name. */
  get unconfirmedMachines(): ReadonlyMap<string, string> {
    return this.#fencingPeriod.unconfirmedMachines;
  }

  /** When the fencing period ends at the latest; machines that this owner has answered itself can prolong it. */
  get fencedUntil(): number {
    return this.#fencingPeriod.until;
  }

  set fencedUntil(until: number) {
    this.#fencingPeriod.until = until;
  }

  /** Whether a new term should begin before the attempt numbers of this one run out. */
  get needsNewTerm(): boolean {
    return this.#attemptNumbers.needsNewTerm;
  }

  /** The machine types that are known now, by name. */
  get types(): ReadonlyMap<string, MachineType> {
    return this.#types();
  }

  /** The machine's type; undefined if the cloud has not listed it yet. */
  typeOf(machine: Machine): MachineType | undefined {
    return this.#types().get(machine.type);
  }

  // --- tasks -------------------------------------------------------------------------------------------------------

  /** The tasks of the partition, by job id and task index. */
  get tasksByJob(): ReadonlyMap<string, ReadonlyMap<number, TaskEntry>> {
    return this.#tasks.tasksByJob;
  }

  /** Counts the changes of free resources or waiting tasks. */
  get changes(): number {
    return this.#tasks.changes;
  }

  /** Counts a change that the caller made to an entry of this table. */
  noteChange(): void {
    this.#tasks.changes++;
  }

  /** The jobs that may have waiting tasks, in the order of `jobOrder`. */
  wakes(): readonly Job[] {
    return this.#tasks.wakes();
  }

  /** The waiting tasks of the job; none if the job is cancelled. */
  waitingTasks(job: Job): Generator<TaskEntry> {
    return this.#tasks.waitingTasks(job);
  }

  /** The recovery scan: afterwards exactly the jobs with a waiting task have a wake. */
  recoverWakes(): void {
    this.#tasks.recoverWakes();
  }

  /** Updates the tasks of a job to match its record. Returns the tasks that are to be stopped from now on. */
  syncJob(id: string, now: number): readonly TaskEntry[] {
    return this.#tasks.sync(id, now);
  }

  /** The task of this name; undefined if the name is malformed or the table has no such task. */
  findTask(taskName: string): TaskEntry | undefined {
    return this.#tasks.findTask(taskName);
  }

  // --- machines ----------------------------------------------------------------------------------------------------

  /** The machines that have sent a heartbeat to this owner, by name. */
  get machines(): ReadonlyMap<string, Machine> {
    return this.#machineTable.byName;
  }

  /** Records whether the stored membership contains the machine. */
  setMember(name: string, isMember: boolean): void {
    this.#machineTable.setMember(name, isMember);
  }

  /** Removes a machine that the cloud reports gone, and ends its claims. */
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

  /** Whether the machine has been silent for more than `SUSPECT_INTERVALS` heartbeat intervals; see `silentMs`. */
  isSuspect(machine: Machine, now: number): boolean {
    return this.#machineTable.isSuspect(machine, now);
  }

  /** How long the machine has been silent while this controller was receiving; see `MachineTable.silentMs`. */
  silentMs(machine: Machine, now: number): number {
    return this.#machineTable.silentMs(machine, now);
  }

  /** A stall of this controller's event loop ended at `now`: heartbeats sent during the stall are not read yet. */
  resumedAfterStall(now: number): void {
    this.#machineTable.resumedAfterStall(now);
  }

  /** Whether the machine itself is at fault: several jobs that run elsewhere failed on it. */
  isQuarantined(machine: Machine): boolean {
    return this.failures.isQuarantined(machine.name);
  }

  /** Whether the job failed wherever it was started, according to its record or to its failures in this partition. */
  isCrashLooping(job: Job): boolean {
    return job.isCrashLooping || this.failures.verdictOn(job.id) === 'crash-looping';
  }

  /** Whether a waiting task may be started; see `mayStartTask`. */
  mayStart(task: TaskEntry): boolean {
    return mayStartTask(task, (job) => this.isCrashLooping(job));
  }

  /** Whether the write that returns these tasks to the leader is to mark their job as crash-looping. */
  marksCrashLoopOnReturn(job: Job, returned: readonly TaskEntry[], now: number): boolean {
    const { runningMachineCount } = this.#evidenceOn(job.id, now);
    return marksCrashLoop(job, returned, (other) => this.isCrashLooping(other), runningMachineCount);
  }

  #evidenceOn(id: string, now: number): JobEvidence {
    return evidenceOn(this.#jobs, this.tasksByJob, id, now);
  }

  /** The resources left on a machine after its claims and the orphaned tasks that it reports. */
  freeResources(machine: Machine): Resources {
    return freeResourcesOn(machine, this.typeOf(machine), this.#jobs);
  }

  /** Whether new tasks may be granted to the machine at all. */
  mayTakeWork(machine: Machine, now: number): boolean {
    return this.#machineTable.mayTakeWork(machine, now);
  }

  /** The current fencing token for messages to the machine; undefined stands for one without a heartbeat so far. */
  fencingToken(machine: Machine | undefined): number {
    return fencingTokenOf(this.term, machine);
  }

  /** Approximate time until the machine's next heartbeat, in milliseconds; 0 if one can be requested. */
  nextHeartbeatInMs(machine: Machine, now: number): number {
    return nextHeartbeatInMs(machine, this.clusterConfig, now);
  }

  /** Whether to request a heartbeat from the machine now; see `mayRequestHeartbeat`. */
  mayRequestHeartbeat(machine: Machine, now: number): boolean {
    return mayRequestHeartbeat(machine, this.clusterConfig, now);
  }

  /**
   * Raises and returns the machine's fencing token. The caller sends it to the worker, which answers by a heartbeat.
   */
  requestHeartbeat(machine: Machine, now: number): number {
    raiseFencingToken(machine, now);
    return this.fencingToken(machine);
  }

  // --- heartbeats --------------------------------------------------------------------------------------------------

  /**
   * Accepts or refuses a heartbeat that was received at `now`. `mayGrant`: whether this owner is certainly entitled to
   * start tasks now. The caller has checked that this owner may answer at all.
   */
  handleHeartbeat(heartbeat: Heartbeat, now: number, mayGrant: boolean): HeartbeatOutcome {
    const term = termOfToken(heartbeat.fencingToken);
    if (term > this.term) return { kind: 'superseded' };
    const refusal = this.#machineTable.refusalOf(heartbeat);
    if (refusal !== null) return refusal;
    const machine = this.machines.get(heartbeat.machine) ?? this.#addMachine(heartbeat, now);
    // The worker's lease expired in between: it has killed and forgotten all its earlier tasks.
    if (heartbeat.agentEpoch > machine.agentEpoch) this.#tasks.endClaims(machine, now, 'new session');
    this.#machineTable.update(machine, heartbeat);
    this.noteChange();
    // A token of this term comes from this process: after a restart a process acquires a new term.
    if (term < this.term) return this.#answerStaleToken(machine, now);
    return this.#answerWithCommands(machine, heartbeat, now, mayGrant);
  }

  #addMachine(heartbeat: Heartbeat, now: number): Machine {
    const { machine: name } = heartbeat;
    const cache = cacheOfKnownImages(this.#inheritedImages.get(name) ?? [], this.#jobs.live.values());
    return this.#machineTable.add(heartbeat, { isMember: this.unconfirmedMachines.has(name), cache }, now);
  }

  /**
   * Answers a worker that has not seen this owner's term. A worker that keeps sending an older term does not receive
   * the answers. Each answer may still renew its lease, so answering without end would keep the uncertain tasks of
   * this partition waiting forever. A machine that can hold no uncertain task is always answered: it may have started
   * while answers could not reach it and the partition changed owners.
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
   * Ends expired leases and the fencing period, and updates the verdicts on failed jobs. Returns the names of machines
   * that hold no task any more and may leave the membership: their lease has expired, or they sent no heartbeat before
   * the fencing period ended.
   */
  tick(now: number): string[] {
    const expired = this.#expireLeases(now);
    this.#endFencing(now);
    this.failures.updateVerdicts((job) => this.#evidenceOn(job, now));
    return [...expired, ...this.#fencingPeriod.takeExpiredMachines()];
  }

  /** Ends the claims of machines that had this owner's token and whose lease has expired; returns their names. */
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

  // --- queries and writes of the owner -----------------------------------------------------------------------------

  /** The tasks that can be returned to the leader, by job; see `returnableTasks`. */
  returnable(unschedulable: readonly TaskEntry[], now: number): Map<string, TaskEntry[]> {
    return returnableTasks(this, unschedulable, now);
  }

  /** Marks tasks whose return to the leader is being written: until the outcome is known, none is granted. */
  beginReturn(tasks: readonly TaskEntry[], now: number): void {
    this.#tasks.beginReturn(tasks, now);
  }

  /** Makes tasks wait again after a write that was to return them did not happen and never will. */
  cancelReturn(tasks: readonly TaskEntry[], now: number): void {
    this.#tasks.cancelReturn(tasks, now);
  }

  /** The completed tasks whose completion is to be written now, by job; see `tasksToFinish`. */
  tasksToFinish(now: number, maxDelayMs: number): Map<string, TaskEntry[]> {
    return tasksToFinish(this, now, maxDelayMs);
  }

  /** The total resources of service tasks that no machine has reported; see `missingServiceResources`. */
  missingServiceResources(now: number): Resources {
    return missingServiceResources(this, now);
  }

  /** How many tasks of each job run here, for display. */
  runningTasks(): Map<string, number> {
    return runningTasks(this);
  }
}
