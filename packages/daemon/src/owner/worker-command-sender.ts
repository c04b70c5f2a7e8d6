// Sends an owner's commands directly to the workers of its partition, in addition to the answers to their heartbeats.
import { type ClaimTable, groupBy, type Machine, type TaskEntry } from '@gingerlock/core';
import { decodeHeartbeat, encodeDirectCommands, errorMessage, type Heartbeat, splitCommands } from '@gingerlock/wire';
import type { ControllerContext } from '../controller/controller-context';

/** Timeout of a stop request, in heartbeat intervals. */
const STOP_TIMEOUT_INTERVALS = 2;

/** Sends direct commands. They are not retried: the answer to the worker's next heartbeat has the same effect. */
export class WorkerCommandSender {
  constructor(
    readonly context: ControllerContext,
    readonly claimTable: ClaimTable,
  ) {}

  /**
   * Sends stops directly to the workers that hold the tasks, without waiting for their next heartbeats. Starts are never
   * sent this way: a start that was delayed by the network could be carried out minutes later.
   */
  stopAll(tasks: readonly TaskEntry[]): void {
    for (const [machine, group] of groupBy(tasks, ({ claim }) => claim!.machine)) this.#stop(machine, group);
  }

  #stop(machine: Machine, tasks: readonly TaskEntry[]): void {
    const commands = tasks.map(({ name, claim }) => ({
      op: 'stop' as const,
      task: name,
      attempt: claim!.attempt,
      graceS: claim!.stopGraceS ?? 0,
    }));
    for (const message of splitCommands(commands)) {
      const body = encodeDirectCommands(this.claimTable.fencingToken(machine), machine.agentEpoch, message);
      this.#post(machine, body, STOP_TIMEOUT_INTERVALS, (detail) => {
        this.context.log.debug(detail, 'direct stop unanswered');
      });
    }
  }

  /**
   * Solicits a heartbeat from a machine for which a waiting task is planned, by sending it a higher token of the same
   * term. The task is claimed only at that heartbeat, and the start is sent in its answer.
   */
  requestHeartbeat(machine: Machine, now: number): void {
    const body = encodeDirectCommands(this.claimTable.requestHeartbeat(machine, now), machine.agentEpoch, []);
    this.#post(machine, body, 1, (detail) => {
      this.context.log.debug(detail, 'heartbeat request unanswered');
    });
  }

  /**
   * Sends the fencing token of this term to a machine of the membership that has sent no heartbeat under it. The
   * machine then reports the higher token, and a former owner that still answers the machine steps down. The responses
   * prove nothing about the machine's tasks, as they can overtake a start that is under way.
   */
  async announceTerm(name: string, addr: string, knownAgentEpoch: number | undefined): Promise<void> {
    const { http, clusterConfig, log } = this.context;
    const timeoutMs = clusterConfig.heartbeatIntervalMs;
    try {
      const agentEpoch = knownAgentEpoch ?? (await this.#inspect(name, addr, timeoutMs)).agentEpoch;
      const fencingToken = this.claimTable.fencingToken(this.claimTable.machines.get(name));
      await http(addr, 'POST', '/commands', encodeDirectCommands(fencingToken, agentEpoch, []), timeoutMs);
    } catch (error) {
      log.debug({ machine: name, error: String(error) }, 'member machine unreachable');
    }
  }

  /** Asks a worker for its report. */
  async #inspect(name: string, addr: string, timeoutMs: number): Promise<Heartbeat> {
    const { body } = await this.context.http(addr, 'GET', '/inspect', null, timeoutMs);
    try {
      return decodeHeartbeat(body);
    } catch (error) {
      const reason = errorMessage(error, 'malformed');
      this.context.refusals.malformed({ path: '/inspect', from: name, bytes: body.length, reason });
      throw error;
    }
  }

  /** Sends commands. `onUnanswered` is called with the fields of a log line if the worker does not answer. */
  #post(
    { name, addr }: Machine,
    body: Buffer,
    timeoutIntervals: number,
    onUnanswered: (detail: { readonly machine: string; readonly error: string }) => void,
  ): void {
    const { http, clusterConfig } = this.context;
    const timeoutMs = clusterConfig.heartbeatIntervalMs * timeoutIntervals;
    http(addr, 'POST', '/commands', body, timeoutMs).catch((error: unknown) => {
      onUnanswered({ machine: name, error: String(error) });
    });
  }
}
