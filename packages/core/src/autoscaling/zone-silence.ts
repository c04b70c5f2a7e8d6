// Zones of which most machines have fallen silent: what is rented there could not be reached either.

/** One running machine, as far as its heartbeats are concerned. */
export interface ZoneMachine {
  readonly zone: string;
  readonly state: 'responsive' | 'silent' | 'unknown';
}

interface ZoneCounts {
  responsive: number;
  silent: number;
}

/**
 * The silent zones. Their silent machines are returned in time, so a zone stays silent until one of its machines is
 * heard from again, or a new one should have been.
 */
export class ZoneSilence {
  readonly #silentUntilByZone = new Map<string, number>();

  /** Takes all running machines; zones that are found silent stay so until `silentUntil`. */
  observe(machines: Iterable<ZoneMachine>, silentUntil: number): void {
    const countsByZone = countByZone(machines);
    const silentZones = [...countsByZone].filter(([, counts]) => isSilentZone(counts)).map(([zone]) => zone);
    // Silence from everywhere is a fault of this controller's own.
    if (silentZones.length === countsByZone.size) return;
    for (const [zone, { responsive }] of countsByZone) if (responsive > 0) this.#silentUntilByZone.delete(zone);
    for (const zone of silentZones) this.#silentUntilByZone.set(zone, silentUntil);
  }

  /** Whether nothing is to be rented in the zone. */
  isSilent(zone: string, now: number): boolean {
    return (this.#silentUntilByZone.get(zone) ?? 0) > now;
  }
}

/**
 * A zone without a responsive machine is silent at once: a new leader knows nothing of one that was cut off before
 * its term.
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
