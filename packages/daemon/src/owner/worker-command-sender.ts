// What an owner sends straight to the workers of its partition, beside the answers to their reports.
import type { ClaimTable, Machine, TaskEntry } from '@gingerlock/core';
import { decodeHeartbeat, encodeDirectCommands } from '@gingerlock/wire';
import type { ControllerContext } from '../controller/controller-context';

export class WorkerCommandSender {
  constructor(
    readonly context: ControllerContext,
    readonly claimTable: ClaimTable,
  ) {}

  /**
   * Sends stops straight to the worker, to win the wait for its next report. Only stops ever go this way: a start that
   * was held back on the way could be carried out minutes later.
   */
  stop(machine: Machine, tasks: readonly TaskEntry[]): void {
    const commands = tasks.map((s) => ({
      op: 'stop' as const,
      task: s.name,
      attempt: s.claim!.attempt,
      graceS: s.claim!.stopGraceS ?? 0,
    }));
    const body = encodeDirectCommands(this.claimTable.fencingToken(machine), machine.agentEpoch, commands);
    const { http, clusterConfig, log } = this.context;
    http(machine.addr, 'POST', '/commands', body, clusterConfig.heartbeatIntervalMs * 2).catch((error: unknown) => {
      // The answer to its next report says the same.
      log.debug({ machine: machine.name, error: String(error) }, 'direct stop unanswered');
    });
  }

  /**
   * Has a machine report now rather than in its own time, by showing it a higher token of the same term: a waiting task
   * is planned for it. It still is the report that claims the task, and the start rides in the answer.
   */
  requestHeartbeat(machine: Machine, now: number): void {
    const body = encodeDirectCommands(this.claimTable.requestHeartbeat(machine, now), machine.agentEpoch, []);
    const { http, clusterConfig, log } = this.context;
    http(machine.addr, 'POST', '/commands', body, clusterConfig.heartbeatIntervalMs).catch((error: unknown) => {
      // Then it reports in its own time.
      log.debug({ machine: machine.name, error: String(error) }, 'heartbeat request unanswered');
    });
  }

  /**
   * Shows our term to a machine of the membership that has not reported to us: it then reports the higher token, upon which
   * an old owner that still answers it steps down. Neither answer is taken as proof of anything: it can overtake a start
   * that is under way.
   */
  async announceTerm(name: string, addr: string, knownAgentEpoch: number | undefined): Promise<void> {
    const { http, clusterConfig, log } = this.context;
    try {
      const agentEpoch =
        knownAgentEpoch ??
        decodeHeartbeat((await http(addr, 'GET', '/inspect', null, clusterConfig.heartbeatIntervalMs)).body).agentEpoch;
      const fencingToken = this.claimTable.fencingToken(this.claimTable.machines.get(name));
      await http(
        addr,
        'POST',
        '/commands',
        encodeDirectCommands(fencingToken, agentEpoch, []),
        clusterConfig.heartbeatIntervalMs,
      );
    } catch (error) {
      log.debug({ machine: name, error: String(error) }, 'member machine unreachable');
    }
  }
}
