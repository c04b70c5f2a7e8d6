// Announces a new owner's term to the machines of its membership that have sent it no heartbeat. Each machine then
// reports the higher fencing token, and a former owner that still answers the machine steps down.
import type { ClaimTable, MachineStatus } from '@gingerlock/core';
import type { ControllerContext } from '../controller/controller-context';
import type { WorkerCommandSender } from './worker-command-sender';

/** Minimum number of announcements per tick. Sent all at once, announcements would delay everything else. */
const MIN_ANNOUNCEMENTS_PER_TICK = 8;

/** A cycle takes at most this share of a worker lease, however many machines are unconfirmed. */
const ANNOUNCEMENT_CYCLE_LEASES = 0.5;

/** The announcements of one ownership term, in cycles over all machines that are still unconfirmed. */
export class TermAnnouncements {
  /** Machines of this cycle that have not been sent an announcement yet. */
  #pending: string[] = [];
  #perTick = MIN_ANNOUNCEMENTS_PER_TICK;
  #cycleStartedAt = -Infinity;
  /** Statuses from an earlier owner, by machine. Used in the first cycle only: the agent epochs may be outdated. */
  #previousStatuses: ReadonlyMap<string, MachineStatus>;

  constructor(
    readonly context: ControllerContext,
    readonly claimTable: ClaimTable,
    readonly commandSender: WorkerCommandSender,
    previousStatuses: ReadonlyMap<string, MachineStatus>,
  ) {
    this.#previousStatuses = previousStatuses;
  }

  /**
   * Sends the next announcements. A cycle is finished before the next one begins: a cycle that restarted at each
   * heartbeat interval would never reach the last of many machines while the first ones do not answer.
   */
  tick(now: number): void {
    const isCycleDue = now - this.#cycleStartedAt > this.context.clusterConfig.heartbeatIntervalMs;
    if (this.#pending.length === 0 && isCycleDue) this.#beginCycle(now);
    const { unconfirmedMachines } = this.claimTable;
    for (const name of this.#pending.splice(0, this.#perTick)) {
      const addr = unconfirmedMachines.get(name);
      if (addr === undefined) continue;
      void this.commandSender.announceTerm(name, addr, this.#previousStatuses.get(name)?.agentEpoch);
    }
  }

  #beginCycle(now: number): void {
    const { clusterConfig, tickMs } = this.context;
    if (this.#cycleStartedAt !== -Infinity) this.#previousStatuses = new Map();
    this.#cycleStartedAt = now;
    this.#pending = [...this.claimTable.unconfirmedMachines.keys()];
    const ticks = Math.max(1, Math.floor((clusterConfig.workerLeaseMs * ANNOUNCEMENT_CYCLE_LEASES) / tickMs));
    this.#perTick = Math.max(MIN_ANNOUNCEMENTS_PER_TICK, Math.ceil(this.#pending.length / ticks));
  }
}
