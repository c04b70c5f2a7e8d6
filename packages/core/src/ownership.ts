// Who owns a part, or the lead. One holding per slot, as a state machine; the controller carries out what it decides.
import type { Condition, Change, HoldRecord, OwnerRecord } from '@gingerlock/wire';
import { holdRecord, KEYS, ownerRecord, termRecord } from '@gingerlock/wire';
import { type Facts, marginMs, workerLeaseBoundMs } from './facts';

/**
 * away:     somebody else's, or nobody's.
 * taking:   a takeover is on its way; its outcome is not known yet.
 * held:     ours.
 * resuming: ours, our state lease had lapsed, and the hold is being put back under the same term.
 * releasing: given up for the controller that it belongs to. Nobody is answered any more, whatever comes of the write.
 */
export type HoldingState = 'away' | 'taking' | 'held' | 'resuming' | 'releasing';

const MOVES: Record<HoldingState, readonly HoldingState[]> = {
  away: ['taking'],
  taking: ['held', 'away'],
  held: ['away', 'resuming', 'releasing'],
  resuming: ['held', 'away'],
  releasing: ['away'],
};

export interface Versioned<T> {
  readonly record: T;
  readonly version: number;
}

/** What the replica says of one slot. */
export interface SlotView {
  readonly owner: Versioned<OwnerRecord> | null;
  readonly hold: Versioned<HoldRecord> | null;
  readonly term: Versioned<number> | null;
  /** The last term whose owner has vouched for the time of its takeover; see `Holding.timing`. */
  readonly timedTerm: number;
}

export interface Me {
  readonly node: string;
  readonly process: string;
}

export interface Txn {
  readonly conditions: Condition[];
  readonly changes: Change[];
}

export type Decision =
  | { readonly kind: 'none' }
  | { readonly kind: 'lost' }
  | { readonly kind: 'take'; readonly txn: Txn; readonly term: number; readonly movedAt: number }
  | { readonly kind: 'resume'; readonly txn: Txn };

/**
 * How long a state lease of a controller lasts without renewal. Its workers have to find the next owner within their own
 * lease, several tries included, and what waits in its parts waits for that long.
 */
export function stateLeaseMs(facts: Facts): number {
  return Math.min(facts.reportMs * 2.5, facts.leaseMs / 4);
}

/**
 * How long a takeover may be under way for the time written with it to bound when it happened. Rather longer than need be: a
 * zone that was cut off may be heard by the time it is cleared, and its tasks begin again where their images are.
 */
export function takeMs(facts: Facts): number {
  return Math.max(stateLeaseMs(facts), facts.reportMs);
}

/** What the controllers that come before this one for a slot are known to be, as intervals to leave to each. */
export const TURN = {
  /** It will see the slot free within a read. */
  alive: 1 / 3,
  /** It was there and has fallen silent. */
  silent: 0,
  /** Not heard of since our start: it may be starting, too. */
  unknown: 1,
} as const;

export class Holding {
  state: HoldingState = 'away';
  term = 0;
  /** Version of our owner record: every write of ours is conditional on it. */
  version = 0;
  takenAt = 0;
  fencedUntil = 0;
  /** Since when the slot has been seen without a hold; null: it has one. */
  #absentSince: number | null = null;
  #movedAt = 0;
  /** Whether the takeover on its way is one from an owner that may go on. */
  #moving = false;
  /** The controller that the slot was taken from, if it may go on, and the time of the takeover before. */
  before: { readonly node: string; readonly movedAt: number } | null = null;
  #takeSentAt = 0;

  constructor(
    readonly slot: string,
    readonly facts: Facts,
    readonly me: Me,
    /** Report intervals to leave to the controllers that come before us for this slot, as things stand. */
    readonly turn: () => number,
  ) {}

  get owned(): boolean {
    return this.state === 'held' || this.state === 'resuming';
  }

  /** The one function that changes the state. */
  #move(next: HoldingState): void {
    if (!MOVES[this.state].includes(next)) throw new Error(`slot ${this.slot}: no move from ${this.state} to ${next}`);
    this.state = next;
  }

  /** Looks at an up-to-date view. `lease` is our state lease, known to be valid, or null. */
  decide(view: SlotView, lease: number | null, now: number, wallNow: number): Decision {
    if (view.hold !== null) this.#absentSince = null;
    else this.#absentSince ??= now;

    if (this.state !== 'held' && this.state !== 'away') return { kind: 'none' };
    if (this.state === 'held') {
      if (view.owner === null || view.owner.version !== this.version) {
        this.#move('away');
        return { kind: 'lost' };
      }
      if (view.hold === null && lease !== null) {
        // Our state lease lapsed, and nobody took the slot: the owner key proves it. The term and all claims stand.
        this.#move('resuming');
        return {
          kind: 'resume',
          txn: {
            conditions: [
              { key: KEYS.owner(this.slot), version: this.version },
              { key: KEYS.hold(this.slot), version: 0 },
            ],
            changes: [{ put: KEYS.hold(this.slot), value: holdRecord.write(this.me), lease }],
          },
        };
      }
      return { kind: 'none' };
    }
    if (lease === null) return { kind: 'none' };
    // A hold that names this controller is an earlier process's, and that one is dead: there is one at a time.
    const earlierSelf = view.hold?.record.node === this.me.node;
    if (view.hold !== null && !earlierSelf) return { kind: 'none' };
    const wait = this.turn() * this.facts.reportMs;
    if (!earlierSelf && now - (this.#absentSince ?? now) < wait) return { kind: 'none' };

    const term = (view.term?.record ?? 0) + 1;
    const previous = view.owner?.record ?? null;
    // The time of the last takeover between controllers outlives our own restarts. An earlier process of ours is dead,
    // and an owner that has released the slot answers nobody: either leaves leases that run out by themselves.
    const ownRestart = previous?.node === this.me.node && view.hold?.record.process !== this.me.process;
    // A takeover under way for long carries a time that is too early, and its taker can have ended before it took the slot
    // once more: until the time is vouched for, whoever comes next counts from its own takeover.
    const timed = previous === null || previous.movedAt === 0 || view.timedTerm === previous.term;
    const moving = previous !== null && (!timed || (!ownRestart && !previous.released));
    this.before = moving && timed ? { node: previous.node, movedAt: previous.movedAt } : null;
    this.#moving = moving;
    this.#movedAt = moving ? wallNow : (previous?.movedAt ?? 0);
    this.#takeSentAt = now;
    this.term = term;
    this.#move('taking');
    return {
      kind: 'take',
      term,
      movedAt: this.#movedAt,
      txn: {
        conditions: [
          { key: KEYS.hold(this.slot), version: view.hold?.version ?? 0 },
          { key: KEYS.term, version: view.term?.version ?? 0 },
          { key: KEYS.owner(this.slot), version: view.owner?.version ?? 0 },
        ],
        changes: [
          { put: KEYS.term, value: termRecord.write(term) },
          {
            put: KEYS.owner(this.slot),
            value: ownerRecord.write({ term, node: this.me.node, movedAt: this.#movedAt, released: false }),
          },
          { put: KEYS.hold(this.slot), value: holdRecord.write(this.me), lease },
        ],
      },
    };
  }

  /**
   * The takeover was carried out at `version`, and known to be at `doneAt`. False: that took so long that the time written
   * with it is no bound any more, so it has to be taken once more.
   */
  taken(version: number, hadOwner: boolean, doneAt: number, now: number, wallNow: number): boolean {
    // Only what was written now can be too old. With a slow state service a report interval, and the reading after it
    // counted in, was once too short for any takeover.
    if (this.#moving && doneAt - this.#takeSentAt > takeMs(this.facts)) {
      this.#move('away');
      return false;
    }
    this.#move('held');
    this.version = version;
    this.takenAt = now;
    // DESIGN: tasks of an earlier owner are granted again only once the old workers' leases have surely run out.
    const own = hadOwner ? now + workerLeaseBoundMs(this.facts) : now;
    const moved = this.#movedClearAt(this.#movedAt, now, wallNow);
    this.fencedUntil = Math.max(own, moved);
    return true;
  }

  /** Vouches for the time that was written with the takeover; null: there is none. */
  timing(): Txn | null {
    if (this.state !== 'held' || this.#movedAt === 0) return null;
    return {
      conditions: [{ key: KEYS.owner(this.slot), version: this.version }],
      changes: [{ put: KEYS.timed(this.slot), value: termRecord.write(this.term) }],
    };
  }

  /**
   * When a takeover that was written down is cleared. The time of day stands in its record, up to `takeMs` before it was
   * carried out.
   */
  #movedClearAt(movedAt: number, now: number, wallNow: number): number {
    if (movedAt === 0) return now;
    const { cancelMs, skewMs } = this.facts;
    const slack = takeMs(this.facts) + 2 * marginMs(this.facts);
    return now + (movedAt - wallNow) + cancelMs + 2 * skewMs + slack;
  }

  /**
   * Asked after our takeover, the controller that had the slot before said that it does not own it: it will not answer
   * anybody for it, and what it has answered is gone within a worker lease. Owners before it are bound by its own takeover.
   */
  gaveUp(node: string, now: number, wallNow: number): void {
    if (this.state !== 'held' || this.before?.node !== node) return;
    const own = now + workerLeaseBoundMs(this.facts);
    this.fencedUntil = Math.min(this.fencedUntil, Math.max(own, this.#movedClearAt(this.before.movedAt, now, wallNow)));
    this.before = null;
  }

  /** A takeover or a resumption that was surely not carried out. */
  failed(): void {
    if (this.state === 'taking' || this.state === 'resuming') this.#move('away');
  }

  resumed(): void {
    if (this.state === 'resuming') this.#move('held');
  }

  /**
   * Gives the slot up for the controller that it belongs to: from here on nobody is answered, so the next owner has to
   * wait for no more than one worker lease. Null: not now.
   */
  release(view: SlotView): Txn | null {
    if (this.state !== 'held' || view.owner?.version !== this.version || view.hold === null) return null;
    this.#move('releasing');
    return {
      conditions: [
        { key: KEYS.owner(this.slot), version: this.version },
        { key: KEYS.hold(this.slot), version: view.hold.version },
      ],
      changes: [
        { put: KEYS.owner(this.slot), value: ownerRecord.write({ ...view.owner.record, released: true }) },
        { remove: KEYS.hold(this.slot) },
      ],
    };
  }

  /** The outcome of the release is known, or we no longer care. */
  released(): void {
    if (this.state === 'releasing') this.#move('away');
  }

  /** Somebody else is known to own the slot. */
  stepDown(): void {
    if (this.owned) this.#move('away');
  }
}
