// Faults of heartbeats: old ones that come to controllers which have just begun a term.
import { KEYS } from '@gingerlock/wire';
import { observeDirect } from '../simulation/traffic';
import type { World } from '../simulation/world';
import { pollFor } from './fault-targets';
import { type FaultTable, statedDurationMs } from './fault-table';

/** Copies of heartbeats are kept until a new leader or owner begins, and then come to every controller. */
export interface HeartbeatFault {
  readonly kind: 'reports for the next';
  readonly share: number;
  readonly forMs: number;
}

/** Faults of heartbeats by kind. */
export const HEARTBEAT_FAULTS: FaultTable<HeartbeatFault> = {
  'reports for the next': { inject: replayHeartbeats, durationMs: statedDurationMs },
};

/** Copies come to each controller within so many milliseconds. */
const REPLAY_WITHIN_MS = 500;

/** Keeps copies of heartbeats, the oldest of each worker, and gives them to every controller when a term begins. */
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
  const look = (): void => {
    if (termVersion() === seenVersion) return;
    seenVersion = termVersion();
    for (const [worker, body] of keptByWorker) deliverToAll(world, worker, body);
    keptByWorker.clear();
  };
  pollFor(world, forMs, look, () => {
    network.onSent = onSentBefore;
  });
}

/** An old heartbeat of the worker comes to every controller that runs then. */
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
