// Silent zones: most of their machines send no heartbeats, so new machines there would probably be unreachable too.

/** The zone of a running machine, and whether it sends heartbeats. */
export interface ZoneMachine {
  readonly zone: string;
  readonly state: 'responsive' | 'silent' | 'unknown';
}

interface ZoneCounts {
  responsive: number;
  silent: number;
}

/**
 * Tracks the silent zones. A zone's silent machines are eventually returned, so it stays silent until a machine there
 * is responsive, or until a newly rented machine would have sent a heartbeat.
 */
export class ZoneSilence {
  readonly #silentUntilByZone = new Map<string, number>();

  /** Applies the states of all running machines; zones that are now silent remain so until `silentUntil`. */
  observe(machines: Iterable<ZoneMachine>, silentUntil: number): void {
    const countsByZone = countByZone(machines);
    const silentZones = [...countsByZone].filter(([, counts]) => isSilentZone(counts)).map(([zone]) => zone);
    // If all zones are silent, the fault is probably in this controller.
    if (silentZones.length === countsByZone.size) return;
    for (const [zone, { responsive }] of countsByZone) if (responsive > 0) this.#silentUntilByZone.delete(zone);
    for (const zone of silentZones) this.#silentUntilByZone.set(zone, silentUntil);
  }

  /** Whether the zone is silent; nothing is rented there. */
  isSilent(zone: string, now: number): boolean {
    return (this.#silentUntilByZone.get(zone) ?? 0) > now;
  }
}

/**
 * Whether a zone is silent. A zone without a responsive machine is silent even if the states of its machines are
 * unknown: a new leader has no statuses from a zone that was cut off before its term.
 */
function isSilentZone({ responsive, silent }: ZoneCounts): boolean {
  return silent > responsive || responsive === 0;
}

function countByZone(machines: Iterable<ZoneMachine>): Map<string, ZoneCounts> {
  const countsByZone = new Map<string, ZoneCounts>();
  for (const { zone, state } of machines) {
    const counts = countsByZone.get(zone) ?? { responsive: 0, silent: 0 };
    if (state !== 'unknown') counts[state]++;
    countsByZone.set(zone, counts);
  }
  return countsByZone;
}
