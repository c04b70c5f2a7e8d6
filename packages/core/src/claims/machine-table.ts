/**
 * The machines that send heartbeats to one partition: which are known, which are gone for good, and which are silent.
 */
import type { Heartbeat } from '@gingerlock/wire';
import { type ClusterConfig, SUSPECT_INTERVALS, workerLeaseBoundMs } from '../cluster/cluster-config';
import type { FailureAttribution } from './failure-attribution';
import type { HeartbeatRefusal } from './heartbeat-outcome';
import type { ImageCache } from './image-cache';
import { type Machine, newMachine } from './machine-entry';

/** The machine entries of one claim table. Pure: times are arguments, in steady milliseconds. */
export class MachineTable {
  /** The machines that have sent a heartbeat to this owner, by name. */
  readonly byName = new Map<string, Machine>();
  /** Names of the machines that the cloud has reported gone. */
  readonly #goneNames = new Set<string>();
  /** When the last stall of this controller's event loop ended; -Infinity if there was none. */
  #listeningSince = -Infinity;

  constructor(
    readonly clusterConfig: ClusterConfig,
    readonly failures: FailureAttribution,
    readonly alarm: (message: string, detail: Record<string, unknown>) => void,
  ) {}

  /** Adds a machine on its first heartbeat. */
  add(heartbeat: Heartbeat, known: { readonly isMember: boolean; readonly cache: ImageCache }, now: number): Machine {
    const machine = newMachine(heartbeat, known, now);
    this.byName.set(heartbeat.machine, machine);
    return machine;
  }

  /** Updates the machine from its heartbeat, including the list of its tasks. */
  update(machine: Machine, heartbeat: Heartbeat): void {
    machine.addr = heartbeat.addr;
    machine.agentEpoch = heartbeat.agentEpoch;
    machine.sequenceNumber = heartbeat.sequenceNumber;
    machine.evictionNotice = heartbeat.noticeS !== null;
    machine.reportedTasks = heartbeat.tasks;
  }

  /** Records whether the stored membership contains the machine. */
  setMember(name: string, isMember: boolean): void {
    const machine = this.byName.get(name);
    if (machine !== undefined) machine.isMember = isMember;
  }

  /** Records that the machine is gone for good: heartbeats in its name are refused from now on. */
  markGone(name: string): void {
    this.#goneNames.add(name);
  }

  isGone(name: string): boolean {
    return this.#goneNames.has(name);
  }

  /** Why a heartbeat is refused; null if it is accepted. */
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
   * How long the machine has been silent while this controller was receiving, in milliseconds; Infinity if the machine
   * is not known to have a lease. A stall of this controller says nothing about the machine. The value serves only to
   * suspect a machine; leases expire by the clock.
   */
  silentMs(machine: Machine, now: number): number {
    return machine.answeredAt === null ? Infinity : now - Math.max(machine.answeredAt, this.#listeningSince);
  }

  /** Ends the leases that have certainly expired by now; returns their machines. */
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

  /** Whether the machine has been silent for more than `SUSPECT_INTERVALS` heartbeat intervals; see `silentMs`. */
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

  /** A stall of this controller's event loop ended at `now`: heartbeats sent during the stall are not read yet. */
  resumedAfterStall(now: number): void {
    this.#listeningSince = now;
    // Answers from before the stall reached their workers too late, so the machines are not at fault for lost starts.
    for (const machine of this.byName.values()) machine.unacknowledgedAnswers = 0;
  }
}
