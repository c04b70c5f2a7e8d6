// What may not fail once all troubles are over: work starts where there is room, and questions are answered.
import { fits, plus, typeAllows } from '@gingerlock/core';
import { type JobSpec, parseTaskName } from '@gingerlock/wire';
import type { World } from './world';

/** A job may wait this many times `cancel_s` though there is room: until then what may still run had to be waited for. */
const WAIT_CANCELS = 2;

/** Users ask every other second or so, and wait 5 s for an answer. */
const UNANSWERED_MS = 30_000;

export class Liveness {
  /**
   * By job: since when a task of it could have started all the time, and none of its team did. Where others of its team
   * start, the limit is in use though for moments it does not look so.
   */
  readonly #waiting = new Map<string, { since: number; started: number }>();
  /** By team: how many starts there have been. */
  readonly starts = new Map<string, number>();

  constructor(readonly world: World) {}

  /** `quietAt`: when the last trouble ended. */
  audit(quietAt: number): void {
    const { world } = this;
    const { now } = world.sim;
    if (now < quietAt) return;
    for (const told of world.users.open()) {
      const { id, tasks, team } = told.spec;
      if (now - Math.max(told.answeredAt, quietAt) > UNANSWERED_MS) world.breach('unanswered', id);
      const started = this.starts.get(team) ?? 0;
      const known = this.#waiting.get(id);
      const waits =
        this.#on(id).length + world.doneOf(id) < tasks &&
        !world.users.isUnwanted(told) &&
        !world.isBroken(id) &&
        world.users.isReady(told) &&
        this.#couldStart(told.spec);
      if (!waits) this.#waiting.delete(id);
      else if (known?.started !== started) this.#waiting.set(id, { since: now, started });
      else if (now - known.since > world.cancelMs * WAIT_CANCELS) {
        world.breach('left_waiting', `${id} since ${Math.round(known.since)}`);
        this.#waiting.set(id, { since: now, started });
      }
    }
  }

  /** The machines on which tasks of the job are. */
  #on(id: string): string[] {
    return [...this.world.runningTasks()].filter(([task]) => task.startsWith(`${id}/`)).map(([, machine]) => machine);
  }

  #couldStart(spec: JobSpec): boolean {
    const { world } = this;
    let gpus = 0;
    for (const task of world.runningTasks().keys()) {
      const s = world.job(parseTaskName(task)!.job)!;
      if (s.team === spec.team) gpus += s.gpus;
    }
    if (gpus + spec.gpus > world.gpusMax) return false;
    const zones = this.#on(spec.id).map((machine) => world.workers.get(machine)?.zone);
    for (const worker of world.workers.values()) {
      if (!typeAllows(spec, worker.type, worker.zone, worker.spot)) continue;
      if (spec.oneZone && zones.some((z) => z !== worker.zone)) continue;
      if (spec.spread && zones.filter((z) => z === worker.zone).length >= Math.ceil(spec.tasks / 2)) continue;
      let room = world.roomOf(worker.type);
      for (const t of worker.tasks.values()) {
        if (t.state !== 'exited') room = plus(room, world.job(parseTaskName(t.task)!.job)!, -1);
      }
      if (fits(spec, room)) return true;
    }
    return false;
  }
}
