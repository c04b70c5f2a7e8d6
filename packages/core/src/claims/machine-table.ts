/**
 * The machines that send heartbeats to one partition: which are known, which are gone for good, and which fell silent.
 */
import type { Heartbeat } from '@gingerlock/wire';
import { type ClusterConfig, SUSPECT_INTERVALS, workerLeaseBoundMs } from '../cluster/cluster-config';
import type { FailureAttribution } from './failure-attribution';
import type { HeartbeatRefusal } from './heartbeat-outcome';
import type { ImageCache } from './image-cache';
import { type Machine, newMachine } from './machine-entry';

/** The machine entries of one claim table. Pure: every moment is an argument, in steady milliseconds. */
export class MachineTable {
  /** By name: the machines that have sent a heartbeat to this owner. */
  readonly byName = new Map<string, Machine>();
  /** Machines that the cloud has reported gone. */
  readonly #goneNames = new Set<string>();
  /** Since when this controller has received without a stall of its event loop. */
  #listeningSince = -Infinity;

  constructor(
    readonly clusterConfig: ClusterConfig,
    readonly failures: FailureAttribution,
    readonly alarm: (message: string, detail: Record<string, unknown>) => void,
  ) {}

  /** Adds the machine of a first heartbeat. */
  add(heartbeat: Heartbeat, known: { readonly isMember: boolean; readonly cache: ImageCache }, now: number): Machine {
    const machine = newMachine(heartbeat, known, now);
    this.byName.set(heartbeat.machine, machine);
    return machine;
  }

  /** Takes over what a heartbeat says of the machine itself, and which tasks it lists. */
  update(machine: Machine, heartbeat: Heartbeat): void {
    machine.addr = heartbeat.addr;
    machine.agentEpoch = heartbeat.agentEpoch;
    machine.sequenceNumber = heartbeat.sequenceNumber;
    machine.evictionNotice = heartbeat.noticeS !== null;
    machine.reportedTasks = heartbeat.tasks;
  }

  /** Notes that the stored membership names the machine, or no longer does. */
  setMember(name: string, isMember: boolean): void {
    const machine = this.byName.get(name);
    if (machine !== undefined) machine.isMember = isMember;
  }

  /** Notes for good that the machine is gone: heartbeats in its name are refused from now on. */
  markGone(name: string): void {
    this.#goneNames.add(name);
  }

  isGone(name: string): boolean {
    return this.#goneNames.has(name);
  }

  /** Why a heartbeat is not to be answered; null: it is accepted. */
  refusalOf(heartbeat: Heartbeat): HeartbeatRefusal | null {
    if (this.isGone(heartbeat.machine)) return { kind: 'refuse', why: 'machine was returned' };
    const known = this.byName.get(heartbeat.machine);
    if (known === undefined) return null;
    if (
      heartbeat.agentEpoch < known.agentEpoch ||
      (heartbeat.agentEpoch === known.agentEpoch && heartbeat.sequenceNumber <= known.sequenceNumber)
    ) {
      return { kind: 'refuse', why: 'older copy of a report' };
    }
    if (heartbeat.type === known.type && heartbeat.zone === known.zone && heartbeat.spot === known.spot) return null;
    this.alarm('heartbeat contradicts earlier ones of its machine', { machine: heartbeat.machine });
    return { kind: 'refuse', why: 'contradicts earlier reports' };
  }

  /**
   * For how long the machine has been silent although this controller was receiving: a stall of this controller says
   * nothing about the machine. For suspicion only; a lease expires by the clock. Infinity: it is not known to have a
   * lease.
   */
  silentMs(machine: Machine, now: number): number {
    return machine.answeredAt === null ? Infinity : now - Math.max(machine.answeredAt, this.#listeningSince);
  }

  /** Notes the end of each lease that has surely expired by now; returns its machine. */
  expireLeases(now: number): Machine[] {
    const expired: Machine[] = [];
    const boundMs = workerLeaseBoundMs(this.clusterConfig);
    for (const machine of this.byName.values()) {
      if (machine.answeredAt === null || now <= machine.answeredAt + boundMs) continue;
      machine.answeredAt = null;
      machine.reportedTasks = [];
      expired.push(machine);
    }
    return expired;
  }

  /** Whether the machine has missed so many heartbeats that it may have failed. */
  isSuspect(machine: Machine, now: number): boolean {
    return this.silentMs(machine, now) > this.clusterConfig.heartbeatIntervalMs * SUSPECT_INTERVALS;
  }

  /** Whether new tasks may be granted to the machine at all. */
  mayTakeWork(machine: Machine, now: number): boolean {
    return (
      machine.hasCurrentToken &&
      !machine.draining &&
      !machine.evictionNotice &&
      !this.failures.isQuarantined(machine.name) &&
      !this.failures.isOnProbation(machine.name, now) &&
      now >= machine.unreachableUntil &&
      !this.isSuspect(machine, now)
    );
  }

  /** This controller's event loop stalled and goes on at `now`: heartbeats sent meanwhile are yet to be read. */
  resumedAfterStall(now: number): void {
    this.#listeningSince = now;
    // Answers from before the stall were too late for their workers, so that starts in them were lost is no fault of
    // the machines.
    for (const machine of this.byName.values()) machine.unacknowledgedAnswers = 0;
  }
}
