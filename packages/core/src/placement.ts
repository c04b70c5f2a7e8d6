// The smallest exceptions to "the first reporter wins": see docs/design.md.
import type { Machine, PartBook, Slot } from './claims';
import { type Amounts, fits, plus, typeAllows } from './facts';

/** Whether a task could be bound to the machine if it had the room. */
export function suits(slot: Slot, m: Machine): boolean {
  return (slot.zone === null || slot.zone === m.zone) && typeAllows(slot.job.spec, m.type, m.zone, m.spot);
}

/**
 * Whether the reporting machine passes on a task because another machine of the part, which reports within about one
 * interval, has its image already. A fetch takes several report intervals, waiting for a report takes one at most.
 */
export function betterElsewhere(book: PartBook, slot: Slot, m: Machine, now: number): boolean {
  const spec = slot.job.spec;
  if (m.cache.has(spec.image)) return false;
  const type = book.typeOf(m);
  const fetchMs = type === undefined ? Infinity : (spec.imageGb / type.fetchGbPerS) * 1000;
  if (fetchMs < book.facts.reportMs) return false;
  if (now - slot.since > book.facts.reportMs * 1.5) return false;
  for (const other of book.machines.values()) {
    if (other === m || !other.rostered || !suits(slot, other) || !other.cache.has(spec.image)) continue;
    if (book.takesWork(other, now) && fits(spec, book.room(other))) return true;
  }
  return false;
}

/**
 * The least that has to stop on one machine so that the task fits there: only claims of lower priority, the least
 * urgent and then the latest started first. Null: no machine can be freed for it.
 */
export function choosePreemption(book: PartBook, slot: Slot, now: number): Slot[] | null {
  const spec = slot.job.spec;
  let best: { victims: Slot[]; cost: number } | null = null;
  for (const m of book.machines.values()) {
    if (!suits(slot, m) || !book.takesWork(m, now)) continue;
    let room: Amounts = book.room(m);
    const stopping = [...m.claims.values()].filter((s) => s.claim!.stopGraceS !== null);
    // What is stopping already was stopped for somebody else.
    if (stopping.length > 0) continue;
    const candidates = [...m.claims.values()]
      .filter((s) => s.job.rank > slot.job.rank)
      .sort((a, b) => b.job.rank - a.job.rank || b.claim!.grantedAt - a.claim!.grantedAt);
    const victims: Slot[] = [];
    for (const candidate of candidates) {
      if (fits(spec, room)) break;
      victims.push(candidate);
      room = plus(room, candidate.job.spec);
    }
    if (!fits(spec, room)) continue;
    const cost = victims.length + (m.cache.has(spec.image) ? 0 : 0.5);
    if (best === null || cost < best.cost) best = { victims, cost };
  }
  return best?.victims ?? null;
}
