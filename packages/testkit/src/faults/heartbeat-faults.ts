// Faults of heartbeats: old heartbeats that reach controllers just after the start of a term.
import { KEYS } from '@gingerlock/wire';
import { observeDirect } from '../simulation/traffic';
import type { World } from '../simulation/world';
import { pollFor } from './fault-targets';
import { type FaultTable, statedDurationMs } from './fault-table';

/** Copies of heartbeats are held until a new leader's or owner's term starts and then reach every controller. */
export interface HeartbeatFault {
  readonly kind: 'reports for the next';
  readonly share: number;
  readonly forMs: number;
}

/** Faults of heartbeats by kind. */
export const HEARTBEAT_FAULTS: FaultTable<HeartbeatFault> = {
  'reports for the next': { inject: replayHeartbeats, durationMs: statedDurationMs },
};

/** The maximum delay with which a copy reaches a controller. */
const REPLAY_WITHIN_MS = 500;

/** Keeps the oldest sampled heartbeat of each worker and delivers the copies to all controllers when a term starts. */
function replayHeartbeats(world: World, { share, forMs }: HeartbeatFault): void {
  const { sim, network, state } = world;
  const keptByWorker = new Map<string, Buffer>();
  const onSentBefore = network.onSent;
  network.onSent = (from, addr, path, body) => {
    onSentBefore(from, addr, path, body);
    if (path === '/checkin' && !keptByWorker.has(from) && sim.random() < share) keptByWorker.set(from, body);
  };
  const termVersion = (): number | undefined => state.data.get(KEYS.term)?.version;
  let seenVersion = termVersion();
  const checkTerm = (): void => {
    if (termVersion() === seenVersion) return;
    seenVersion = termVersion();
    for (const [worker, body] of keptByWorker) deliverToAll(world, worker, body);
    keptByWorker.clear();
  };
  pollFor(world, forMs, checkTerm, () => {
    network.onSent = onSentBefore;
  });
}

/** Delivers an old heartbeat of the worker to every running controller. */
function deliverToAll(world: World, worker: string, body: Buffer): void {
  const { sim, network } = world;
  world.recordOccurrence('old report');
  for (const node of world.nodes) {
    sim.after(sim.random() * REPLAY_WITHIN_MS, () => {
      const { controller } = node;
      if (controller === null) return;
      const copy = { from: worker, to: node.name, request: 'POST /checkin', body };
      void observeDirect(network.observe, copy, () => controller.checkin(body)).catch(() => undefined);
    });
  }
}
