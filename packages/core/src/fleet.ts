// What the leader rents, drains and returns. It only plans; the controller talks to the cloud and to the owners.
import { type CloudMachine, type JobSpec, type MachineType, PRIORITIES, type RentRequest } from '@gingerlock/wire';
import type { MachineRoom, PartSummary, Unmet } from './assignment';
import {
  type Amounts,
  type Facts,
  fits,
  hasNoGuarantee,
  NOTHING,
  type Partition,
  plus,
  typeAllows,
  workerLeaseBoundMs,
} from './facts';

/** What the operators have set. */
export interface FleetLimits {
  /** Free room kept on ordinary machines, as a share of what is in use. */
  readonly headroom: number;
  readonly maxOrdinaryMachines: number;
  readonly maxSpotMachines: number;
}

export interface FleetInput {
  readonly now: number;
  readonly types: ReadonlyMap<string, MachineType>;
  readonly summaries: readonly PartSummary[];
  readonly unmet: readonly Unmet[];
  readonly parts: Partition;
}

export interface FleetPlan {
  readonly rent: RentRequest[];
  readonly giveBack: string[];
  /** Machines that are to get no more work. */
  readonly drain: string[];
}

interface Known {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** When it was rented, at the latest: known for what this leader rented, otherwise bounded by each list that shows it. */
  bornAt: number;
  /** vanished: not listed any more. Returned once more, for the answer to that is proof. */
  state: 'booting' | 'running' | 'failed' | 'vanished';
  /** The latest time that a list describes in which it stood; null: none has. */
  listedAsOf: number | null;
  /** Since when it is up, as far as lists and reports tell. */
  upSince: number | null;
  /** When it was last seen in a summary, or, if it never was, null. */
  heardAt: number | null;
  missingSince: number | null;
}

interface Bin {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  free: Amounts;
  /** To be rented now. */
  readonly fresh: boolean;
}

interface Refusal {
  until: number;
  backoff: number;
}

/** Work of this rank and below makes way for services. */
const BATCH_RANK = PRIORITIES.indexOf('normal');

/** A machine that takes longer than this many usual boot times counts as late; its room is rented once more. */
const LATE_BOOTS = 2;
/** One that takes longer than this many is returned. */
const STUCK_BOOTS = 4;

export class Fleet {
  readonly known = new Map<string, Known>();
  readonly #returned = new Map<string, number>();
  /** By part: its owner's term, and since when that owner has told of it. */
  readonly #partSince = new Map<number, { term: number; since: number }>();
  readonly #refused = new Map<string, Refusal>();
  /** Zones in which most machines have fallen silent, and until when nothing is rented there for that. */
  readonly #silentZones = new Map<string, number>();
  #draining = new Set<string>();
  /** Machines that are being emptied, or could not be, and since when. */
  #vacating: ReadonlyMap<string, number> = new Map();
  #counter = 0;
  #firstList = true;

  constructor(
    readonly facts: Facts,
    readonly term: number,
    readonly limits: FleetLimits,
  ) {}

  rented(names: readonly string[], r: RentRequest, now: number): void {
    this.#refused.delete(place(r.type, r.zone, r.spot));
    for (const name of names) {
      if (this.known.has(name) || this.#returned.has(name)) continue;
      this.known.set(name, this.#entry(name, r.type, r.zone, r.spot, now));
    }
    if (names.length < r.count) this.refused(r, now);
  }

  refused(r: RentRequest, now: number): void {
    const key = place(r.type, r.zone, r.spot);
    const last = this.#refused.get(key);
    const backoff = Math.min((last?.backoff ?? this.facts.reportMs) * 2, this.facts.reportMs * 16);
    this.#refused.set(key, { until: now + backoff, backoff });
  }

  returned(names: readonly string[], now: number): void {
    for (const name of names) {
      this.known.delete(name);
      this.#draining.delete(name);
      this.#returned.set(name, now);
    }
  }

  #entry(name: string, type: string, zone: string, spot: boolean, bornAt: number): Known {
    return {
      name,
      type,
      zone,
      spot,
      bornAt,
      state: 'booting',
      listedAsOf: null,
      upSince: null,
      heardAt: null,
      missingSince: null,
    };
  }

  /** Takes a whole list of machines. Returns those that are surely gone. */
  listed(machines: readonly CloudMachine[], now: number): { failed: string[] } {
    const names = new Set(machines.map((m) => m.name));
    const describedAt = this.#describedAt(machines, now);
    for (const m of machines) {
      // A list may be older than the return.
      if (this.#returned.has(m.name)) continue;
      let k = this.known.get(m.name);
      if (k === undefined) {
        k = this.#entry(m.name, m.type, m.zone, m.spot, now - m.ageS * 1000);
        this.known.set(m.name, k);
      }
      k.listedAsOf = Math.max(k.listedAsOf ?? -Infinity, describedAt);
      k.missingSince = null;
      if (k.state !== 'failed') k.state = m.state;
      if (m.state === 'running') k.upSince ??= this.#firstList ? now - m.ageS * 1000 : now;
    }
    this.#firstList = false;
    for (const k of this.known.values()) {
      if (names.has(k.name) || !this.#shouldBeListed(k, describedAt)) continue;
      k.missingSince ??= now;
      // Listed once and missing now: deleted or taken. Lists may go back in time, so not at once. It is not just forgotten:
      // its part would show it as silent ever after, and a zone of such machines was taken for cut off and never served.
      const wait = this.facts.listLagMs * (k.listedAsOf !== null ? 2 : 6);
      if (now - k.missingSince > wait && (k.heardAt === null || now - k.heardAt > this.facts.leaseMs))
        k.state = 'vanished';
    }
    for (const [name, at] of this.#returned) if (now - at > this.facts.listLagMs * 20) this.#returned.delete(name);
    return { failed: [...this.known.values()].filter((k) => k.state === 'failed').map((k) => k.name) };
  }

  /**
   * The time that a list describes, at the latest; it may be long ago. The age of a machine in it is as of then, and its birth is
   * known or bounded: the machine whose bound is best tells most.
   */
  #describedAt(machines: readonly CloudMachine[], now: number): number {
    let earliest = Infinity;
    for (const { name, ageS } of machines) {
      const known = this.known.get(name);
      if (known === undefined) continue;
      known.bornAt = Math.min(known.bornAt, now - ageS * 1000);
      earliest = Math.min(earliest, known.bornAt + ageS * 1000);
    }
    return Math.min(now, earliest);
  }

  /** Whether a list that describes that time shows the machine if it is not gone. An old list once had machines returned while they booted. */
  #shouldBeListed({ listedAsOf, bornAt }: Known, describedAt: number): boolean {
    return describedAt > (listedAsOf ?? bornAt);
  }

  /** Whether the owners have heard every machine that is listed as up. */
  allHeard(summaries: readonly PartSummary[]): boolean {
    const heard = new Set(summaries.flatMap((s) => s.machines.map((m) => m.name)));
    const up = [...this.known.values()].filter((k) => k.state === 'running');
    return up.length > 0 && up.every((k) => heard.has(k.name));
  }

  /** How the fleet stands, for the log. */
  figures(summaries: readonly PartSummary[], types: ReadonlyMap<string, MachineType>): Record<string, number> {
    const f = { ordinary: 0, spot: 0, notHeard: 0, empty: 0, used: 0, batch: 0, free: 0 };
    for (const k of this.known.values()) f[k.spot ? 'spot' : 'ordinary']++;
    const rooms = summaries.flatMap((s) => s.machines);
    f.notHeard = f.ordinary + f.spot - rooms.length;
    for (const m of rooms) {
      if (m.empty) f.empty++;
      if (m.spot) continue;
      const batch = m.byRank.reduce((sum, a, rank) => sum + (rank >= BATCH_RANK ? a.gpus : 0), 0);
      f.batch += batch;
      f.free += m.free.gpus;
      f.used += (types.get(m.type)?.gpus ?? 0) - m.free.gpus - batch;
    }
    return f;
  }

  /** How long until a machine that is rented now could run a task of the job, in milliseconds; Infinity: none can be had. */
  rentMs(spec: JobSpec, types: ReadonlyMap<string, MachineType>): number {
    let least = Infinity;
    for (const type of types.values()) {
      if (!fits(spec, type) || !type.zones.some((zone) => typeAllows(spec, type.name, zone, false))) continue;
      least = Math.min(least, type.bootS * 1000);
    }
    return least;
  }

  plan(input: FleetInput): FleetPlan {
    const { now, types } = input;
    const rooms = new Map<string, MachineRoom>();
    for (const s of input.summaries) for (const m of s.machines) rooms.set(m.name, m);
    for (const m of rooms.values()) {
      if (this.#returned.has(m.name)) continue;
      let k = this.known.get(m.name);
      if (k === undefined) {
        k = this.#entry(m.name, m.type, m.zone, m.spot, now);
        this.known.set(m.name, k);
      }
      if (k.state === 'booting') k.state = 'running';
      k.upSince ??= now;
      if (m.silentMs < this.facts.leaseMs) k.heardAt = now - m.silentMs;
    }

    for (const s of input.summaries) {
      if (this.#partSince.get(s.part)?.term !== s.term) this.#partSince.set(s.part, { term: s.term, since: now });
    }
    const heard = new Set(input.summaries.map((s) => s.part));
    for (const part of this.#partSince.keys()) if (!heard.has(part)) this.#partSince.delete(part);

    this.#watchZones(input, rooms);
    const giveBack: string[] = [];
    const drain = new Set<string>();
    const booting: Known[] = [];
    for (const k of this.known.values()) {
      const bootMs = (types.get(k.type)?.bootS ?? 60) * 1000;
      const room = rooms.get(k.name);
      if (k.state === 'failed' || k.state === 'vanished') giveBack.push(k.name);
      else if (k.state === 'booting' && room === undefined) {
        if (now - k.bornAt > bootMs * STUCK_BOOTS) giveBack.push(k.name);
        else if (now - k.bornAt < bootMs * LATE_BOOTS) booting.push(k);
      } else if (now - this.#quietSince(k, input) > 2 * workerLeaseBoundMs(this.facts)) {
        // Up, and silent for longer than any lease. The answer proves it gone, sooner than the time that clears its part.
        giveBack.push(k.name);
      } else if (room?.unhealthy === true) drain.add(k.name);
    }
    const rent = this.#rent(input, booting, rooms);
    this.#idle(input, rooms, booting, drain, giveBack, rent.length > 0);
    this.#draining = drain;
    return { rent, giveBack, drain: [...drain] };
  }

  /**
   * Since when a machine could have been heard and was not. A new owner of its part, or a new leader, has to be given
   * the time to hear it first: silence from before proves nothing, and healthy machines were once returned for it.
   */
  #quietSince(k: Known, input: FleetInput): number {
    const part = input.parts.of(k.name, k.zone);
    const owner = this.#partSince.get(part);
    if (owner === undefined) return Infinity;
    return Math.max(k.heardAt ?? -Infinity, k.upSince ?? -Infinity, owner.since);
  }

  /**
   * Notes zones in which most machines that are up have fallen silent: what is rented there could not be reached either.
   * Their silent machines are returned in time, so the note stands until one of the zone is heard, or a new one should
   * have been.
   */
  #watchZones(input: FleetInput, rooms: ReadonlyMap<string, MachineRoom>): void {
    const { now } = input;
    const zones = new Map<string, { heard: number; silent: number }>();
    for (const k of this.known.values()) {
      if (k.state !== 'running') continue;
      const room = rooms.get(k.name);
      const heard = room !== undefined && !suspect(room, this.facts);
      const silent = !heard && now - this.#quietSince(k, input) > this.facts.reportMs * SUSPECT_INTERVALS;
      const zone = zones.get(k.zone) ?? { heard: 0, silent: 0 };
      if (heard) zone.heard++;
      if (silent) zone.silent++;
      zones.set(k.zone, zone);
    }
    // A new leader has heard nothing of a zone that was cut off before its time.
    const silent = [...zones].filter(([, z]) => z.silent > z.heard || z.heard === 0).map(([name]) => name);
    // Silence from everywhere is trouble of our own.
    if (silent.length === zones.size) return;
    const bootMs = Math.max(0, ...[...input.types.values()].map((t) => t.bootS * 1000));
    for (const [name, z] of zones) if (z.heard > 0) this.#silentZones.delete(name);
    for (const name of silent) this.#silentZones.set(name, now + bootMs * LATE_BOOTS + this.facts.listLagMs);
  }

  #rent(input: FleetInput, booting: readonly Known[], rooms: ReadonlyMap<string, MachineRoom>): RentRequest[] {
    const { now, types } = input;
    const bins: Bin[] = [];
    for (const k of booting) {
      const t = types.get(k.type);
      if (t !== undefined) bins.push({ type: k.type, zone: k.zone, spot: k.spot, free: amounts(t), fresh: false });
    }
    const perZone = new Map<string, number>();
    const count = { ordinary: 0, spot: 0 };
    for (const k of this.known.values()) {
      perZone.set(k.zone, (perZone.get(k.zone) ?? 0) + 1);
      count[k.spot ? 'spot' : 'ordinary']++;
    }
    const belowLimit = (spot: boolean): boolean =>
      spot ? count.spot < this.limits.maxSpotMachines : count.ordinary < this.limits.maxOrdinaryMachines;
    const silent = (z: string): boolean => (this.#silentZones.get(z) ?? 0) > now;
    const open = (t: string, z: string, spot: boolean): boolean =>
      !silent(z) && (this.#refused.get(place(t, z, spot))?.until ?? 0) <= now;

    const request = (spec: Unmet['job']['spec'], zones: readonly string[] | null): boolean => {
      const allowed = (type: MachineType, zone: string, spot: boolean): boolean =>
        fits(spec, type) &&
        (zones === null || zones.includes(zone)) &&
        typeAllows(spec, type.name, zone, spot) &&
        open(type.name, zone, spot) &&
        belowLimit(spot) &&
        (spot || !this.#waitsForSpot(spec));
      if (this.#add(bins, perZone, allowed, types) === null) return false;
      const bin = bins.at(-1)!;
      count[bin.spot ? 'spot' : 'ordinary']++;
      bin.free = plus(bin.free, spec, -1);
      return true;
    };

    // What runs on a machine that has fallen silent will most likely be wanted elsewhere once its lease is over: a boot
    // begins now. More than half of them silent is no trouble of theirs.
    const suspects = [...rooms.values()].filter((m) => suspect(m, this.facts) && m.silentMs < this.facts.leaseMs * 2);
    if (suspects.length * 2 < rooms.size) {
      for (const m of suspects) {
        const need = m.byRank.reduce((sum, a) => plus(sum, a), NOTHING);
        if (need.cpus <= 0 && need.gpus <= 0) continue;
        const bin = bins.find((b) => b.spot === m.spot && !silent(b.zone) && fits(need, b.free));
        if (bin !== undefined) {
          bin.free = plus(bin.free, need, -1);
          continue;
        }
        const like = (t: MachineType, zone: string, spot: boolean): boolean =>
          t.name === m.type && spot === m.spot && open(t.name, zone, spot) && belowLimit(spot);
        if (this.#add(bins, perZone, like, types) === null) continue;
        count[m.spot ? 'spot' : 'ordinary']++;
        bins.at(-1)!.free = plus(bins.at(-1)!.free, need, -1);
      }
    }
    for (const { job, count, zones } of input.unmet) {
      const onlySpot = this.#waitsForSpot(job.spec);
      for (let i = 0; i < count; i++) {
        const bin = bins.find(
          (b) =>
            (b.spot || !onlySpot) &&
            (zones === null || zones.includes(b.zone)) &&
            typeAllows(job.spec, b.type, b.zone, b.spot) &&
            fits(job.spec, b.free),
        );
        if (bin !== undefined) bin.free = plus(bin.free, job.spec, -1);
        else if (!request(job.spec, zones)) break;
      }
    }
    // Room for what comes next, on top of what is asked for now, and for what new owners are still waiting to hear of: a
    // boot takes longer than most aims allow.
    let free = 0;
    for (const m of rooms.values()) if (!m.spot && m.takesWork) free += roomForServices(m);
    for (const b of bins) if (!b.spot) free += b.free.gpus;
    for (const target = this.#headroom(input, rooms); free < target;) {
      const ordinary = (t: MachineType, zone: string, spot: boolean): boolean =>
        !spot && open(t.name, zone, spot) && belowLimit(spot);
      const type = this.#add(bins, perZone, ordinary, types);
      if (type === null || type.gpus <= 0) break;
      count.ordinary++;
      free += type.gpus;
    }
    const groups = new Map<string, RentRequest>();
    for (const b of bins.filter((bin) => bin.fresh)) {
      const key = place(b.type, b.zone, b.spot);
      const r = groups.get(key);
      if (r !== undefined) groups.set(key, { ...r, count: Math.min(50, r.count + 1) });
      else groups.set(key, { request: '', type: b.type, zone: b.zone, spot: b.spot, count: 1 });
    }
    // Names are never reused: they carry the leader's term.
    return [...groups.values()].map((r) => ({ ...r, request: `r-${this.term}-${++this.#counter}` }));
  }

  /** Adds the cheapest machine that is allowed, in the zone that has the fewest. */
  #add(
    bins: Bin[],
    perZone: Map<string, number>,
    allowed: (type: MachineType, zone: string, spot: boolean) => boolean,
    types: ReadonlyMap<string, MachineType>,
  ): MachineType | null {
    let best: { type: MachineType; zone: string; spot: boolean; cost: number } | null = null;
    for (const type of types.values()) {
      for (const zone of type.zones) {
        for (const spot of [false, true]) {
          if (!allowed(type, zone, spot)) continue;
          const cost = (spot ? type.spotPrice : type.price) * (1 + (perZone.get(zone) ?? 0) / 1000);
          if (best === null || cost < best.cost) best = { type, zone, spot, cost };
        }
      }
    }
    if (best === null) return null;
    perZone.set(best.zone, (perZone.get(best.zone) ?? 0) + 1);
    bins.push({ type: best.type.name, zone: best.zone, spot: best.spot, free: amounts(best.type), fresh: true });
    return best.type;
  }

  /**
   * How much room, in accelerators, ordinary machines should have: for new services, and for those that new owners are
   * still waiting to hear of.
   */
  #headroom(input: FleetInput, rooms: ReadonlyMap<string, MachineRoom>): number {
    let used = 0;
    for (const m of rooms.values()) {
      const type = input.types.get(m.type);
      if (type !== undefined && !m.spot) used += type.gpus - roomForServices(m);
    }
    const missing = input.summaries.reduce((sum, s) => sum + s.missing.gpus, 0);
    return used * this.limits.headroom + missing;
  }

  /** Machines that have been empty for about a boot time go, if enough room is left without them. */
  #idle(
    input: FleetInput,
    rooms: ReadonlyMap<string, MachineRoom>,
    booting: readonly Known[],
    drain: Set<string>,
    giveBack: string[],
    renting: boolean,
  ): void {
    let ordinary = 0;
    const empties: MachineRoom[] = [];
    for (const m of rooms.values()) {
      const type = input.types.get(m.type);
      if (type === undefined || m.evictionNotice || this.#returned.has(m.name)) continue;
      if (!m.spot && m.takesWork) ordinary += roomForServices(m);
      if (m.empty) empties.push(m);
    }
    const headroom = this.#headroom(input, rooms);
    for (const m of empties.sort((a, b) => b.emptyMs - a.emptyMs)) {
      if (giveBack.includes(m.name)) continue;
      const type = input.types.get(m.type)!;
      const idle = m.emptyMs > Math.max(type.bootS * 1000 * IDLE_BOOTS, this.facts.reportMs * 5);
      const spare = m.spot || ordinary - type.gpus >= headroom;
      const leave =
        drain.has(m.name) || this.#draining.has(m.name) || (idle && spare && !(renting && booting.length === 0));
      if (!leave) continue;
      if (!m.spot && m.takesWork) ordinary -= type.gpus;
      drain.add(m.name);
      // The owner says that it binds nothing there any more and that nothing is there.
      if (m.draining) giveBack.push(m.name);
    }
    const isShort = input.unmet.some(({ job }) => !this.#waitsForSpot(job.spec));
    if (!renting && !isShort) this.#vacate(input, rooms, drain, ordinary - headroom);
  }

  /**
   * Work of a team without a guarantee that may run on spot machines has none rented at the ordinary price, and keeps none: it takes
   * what is free there, and what is rented for it is spot. Elsewhere long idle work made the whole fleet dearer.
   */
  #waitsForSpot({ team: name, spot }: JobSpec): boolean {
    const team = this.facts.teams.get(name);
    return spot && team !== undefined && hasNoGuarantee(team);
  }

  /**
   * Machines that are nearly empty and whose room can be spared get no more work. Batch work on spot machines ends soon;
   * replicas last for minutes, so the owner moves them to where they are up again at once, if it can.
   */
  #vacate(input: FleetInput, rooms: ReadonlyMap<string, MachineRoom>, drain: Set<string>, spareOrdinary: number): void {
    const { now, types } = input;
    const candidates: { m: MachineRoom; used: number; size: number }[] = [];
    const freeIn = new Map<string, number>();
    const spot = { free: 0, used: 0 };
    for (const m of rooms.values()) {
      const size = types.get(m.type)?.gpus ?? 0;
      if (m.evictionNotice || m.unhealthy || suspect(m, this.facts)) continue;
      const sum = (from: number, to: number): number => m.byRank.slice(from, to).reduce((n, a) => n + a.gpus, 0);
      const used = m.spot ? sum(0, m.byRank.length) : sum(0, BATCH_RANK);
      if (m.spot) spot.used += used;
      if (m.takesWork && m.spot) spot.free += m.free.gpus;
      else if (m.takesWork) freeIn.set(m.zone, (freeIn.get(m.zone) ?? 0) + m.free.gpus);
      if (!m.empty && used <= size / 2 && (m.takesWork || this.#draining.has(m.name))) {
        candidates.push({ m, used, size });
      }
    }
    const spare = { ordinary: spareOrdinary, spot: spot.free - spot.used * SPOT_SPARE };
    // What is being emptied goes on being emptied; then the emptiest.
    const order = (c: (typeof candidates)[number]): number => (this.#draining.has(c.m.name) ? 0 : 1);
    candidates.sort((a, b) => order(a) - order(b) || a.used - b.used || (a.m.name < b.m.name ? -1 : 1));
    const vacating = new Map<string, number>();
    const busy = new Set<number>();
    for (const { m, used, size } of candidates) {
      const bootMs = (types.get(m.type)?.bootS ?? 60) * 1000;
      const since = this.#vacating.get(m.name) ?? now;
      // If it could not be emptied in this time it is let be for a while.
      if (now - since > bootMs * VACATE_BOOTS) {
        if (now - since < bootMs * VACATE_BOOTS * 4) vacating.set(m.name, since);
        continue;
      }
      const kind = m.spot ? 'spot' : 'ordinary';
      // The room of one that takes no more work is not among what is to spare.
      const cost = m.takesWork ? size : m.spot ? 0 : used;
      if (cost > spare[kind]) continue;
      if (!m.spot) {
        const others = (freeIn.get(m.zone) ?? 0) - (m.takesWork ? m.free.gpus : 0);
        const part = input.parts.of(m.name, m.zone);
        if (busy.has(part) || used > others) continue;
        busy.add(part);
        freeIn.set(m.zone, others - used);
      }
      spare[kind] -= cost;
      vacating.set(m.name, since);
      drain.add(m.name);
    }
    this.#vacating = vacating;
  }
}

/** A machine that could not be emptied in so many boot times is let be for three times as long. */
const VACATE_BOOTS = 2;

/** Room for coming batch work that is kept on spot machines, as a share of what is in use there. */
const SPOT_SPARE = 0.25;

/**
 * An empty machine is kept for this many boot times, and always for a few reports: where machines boot at once, one was
 * returned before its first task could be assigned to it, and rented again.
 */
const IDLE_BOOTS = 0.5;

/** DESIGN's grant lease: a machine silent for longer than this many report intervals is suspect. */
const SUSPECT_INTERVALS = 3;

function suspect(m: MachineRoom, facts: Facts): boolean {
  return m.silentMs > facts.reportMs * SUSPECT_INTERVALS;
}

/** What a machine has for new services: batch work makes way for them. */
function roomForServices(m: MachineRoom): number {
  return m.byRank.reduce((sum, a, rank) => sum + (rank >= BATCH_RANK ? a.gpus : 0), m.free.gpus);
}

function place(type: string, zone: string, spot: boolean): string {
  return `${type}/${zone}/${spot ? 'spot' : 'ordinary'}`;
}

function amounts(t: MachineType): Amounts {
  return { cpus: t.cpus, gpus: t.gpus, memoryGb: t.memoryGb };
}
