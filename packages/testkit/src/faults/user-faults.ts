// What users do beyond submitting, asking and now and then cancelling.
import { parseTaskName } from '@gingerlock/wire';
import type { FaultTargets } from './fault-targets';
import { PipelineUser } from '../standins/pipelines';
import type { World } from '../simulation/world';

export type UserFault =
  /** Users call running jobs off, all within a fifth of a second; some of their machines then hang. */
  | { readonly kind: 'cancel now'; readonly count: number; readonly hangMs: number }
  /** Jobs are called off at the moment at which their last task completes. */
  | { readonly kind: 'cancel at end'; readonly share: number; readonly forMs: number }
  | { readonly kind: 'odd requests'; readonly forMs: number }
  | { readonly kind: 'close looks'; readonly forMs: number }
  /** Jobs of one task, so many a second, a quarter of them called off. */
  | { readonly kind: 'small jobs'; readonly perS: number; readonly forMs: number }
  /** Users submit pipelines of jobs that await each other, one every so often. */
  | { readonly kind: 'pipelines'; readonly everyMs: number; readonly forMs: number; readonly seed: number }
  /** One controller alone is refused, others cancel jobs, and a moment later nobody is served. */
  | {
      readonly kind: 'gap';
      readonly node: number;
      readonly cancels: number;
      readonly afterMs: number;
      readonly forMs: number;
    };

const KINDS: ReadonlySet<string> = new Set([
  'cancel now',
  'cancel at end',
  'odd requests',
  'close looks',
  'small jobs',
  'pipelines',
  'gap',
]);

export function isUserFault(fault: { readonly kind: string }): fault is UserFault {
  return KINDS.has(fault.kind);
}

export function injectUserFault(world: World, fault: UserFault, targets: FaultTargets): void {
  const { sim, network, state } = world;
  switch (fault.kind) {
    case 'cancel now': {
      const jobs = cancelSome(world, fault.count, 200);
      world.recordOccurrence('cancelled', jobs.size);
      const on = [...world.runningTasks()]
        .filter(([taskName]) => jobs.has(parseTaskName(taskName)!.job))
        .map(([, m]) => m);
      if (fault.hangMs > 0) for (const name of [...new Set(on)].slice(0, 8)) network.freeze(name, fault.hangMs);
      return;
    }
    case 'cancel at end':
      world.cancelAtEnd = fault.share;
      sim.after(fault.forMs, () => {
        world.cancelAtEnd = 0;
      });
      return;
    case 'odd requests': {
      const until = sim.now + fault.forMs;
      const next = (): void => {
        if (sim.now > until) return;
        void world.users.sendOddRequest(world.randomJob());
        sim.after(100 + sim.random() * 600, next);
      };
      next();
      return;
    }
    case 'close looks':
      world.users.closeLooksUntil = Math.max(world.users.closeLooksUntil, sim.now + fault.forMs);
      return;
    case 'small jobs': {
      const until = sim.now + fault.forMs;
      const next = (): void => {
        if (sim.now > until) return;
        const spec = { ...world.randomJob(), kind: 'array' as const, tasks: 1, spread: false, gpus: 1, estimateS: 1 };
        void world.users.live(spec, sim.random() < 0.25 ? sim.random() * 5000 : null);
        sim.after((1000 / fault.perS) * (0.5 + sim.random()), next);
      };
      next();
      return;
    }
    case 'pipelines':
      for (let i = 0; i * fault.everyMs < fault.forMs; i++) {
        sim.after(i * fault.everyMs, () => new PipelineUser(world, fault.seed + i).start());
      }
      return;
    case 'gap': {
      const name = targets.node(fault.node);
      state.refused.add(name);
      world.recordOccurrence('cancelled', cancelSome(world, fault.cancels, fault.afterMs).size);
      sim.after(fault.afterMs, () => state.setOutage(true));
      sim.after(fault.afterMs + fault.forMs, () => {
        state.refused.delete(name);
        state.setOutage(false);
      });
      return;
    }
  }
}

/** Users call off some jobs that run, within so many milliseconds; returns which. */
function cancelSome(world: World, count: number, withinMs: number): Set<string> {
  const running = new Set([...world.runningTasks().keys()].map((taskName) => parseTaskName(taskName)!.job));
  const jobs = world.users
    .open()
    .map((t) => t.spec.id)
    .filter((id) => running.has(id))
    .slice(0, count);
  for (const id of jobs) world.sim.after(world.sim.random() * withinMs, () => void world.users.cancel(id));
  return new Set(jobs);
}
