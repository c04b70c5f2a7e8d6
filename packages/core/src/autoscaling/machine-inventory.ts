// The machines that the leader knows from its own requests, from the cloud's lists and from the owners' statuses.
import type { CloudMachine, RentRequest } from '@gingerlock/wire';
import type { ClusterConfig } from '../cluster/cluster-config';
import type { MachineStatus, PartitionStatus } from '../scheduling/partition-status';

/** A known machine. Times are on the leader's clock, in milliseconds. */
export interface KnownMachine {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /**
   * Latest time at which it can have been rented: when this leader recorded the rental or first saw the machine. Each
   * list that contains the machine can tighten it.
   */
  createdAt: number;
  /** vanished: lists no longer contain it. It is returned again, because the cloud's answer proves that it is gone. */
  state: 'booting' | 'running' | 'failed' | 'vanished';
  /** Latest time described by a list that contained it; null if no list did. */
  listedAsOf: number | null;
  /** When lists or heartbeats first showed it as up; null if none has. */
  upSince: number | null;
  /** Time of the last heartbeat reported in a status; null if none has been reported. */
  lastHeartbeatAt: number | null;
  /** Since when it has been missing from lists that should contain it; null if it is not missing. */
  missingSince: number | null;
}

/** Identity of a machine, and the latest time at which it can have been rented. */
type MachineOrigin = Pick<KnownMachine, 'name' | 'type' | 'zone' | 'spot' | 'createdAt'>;

/**
 * How long a machine that was listed has to be missing to count as vanished, in list lags: a list may describe an
 * earlier time than the list before it.
 */
const MISSING_LAGS = 2;

/** How long a machine that was never listed has to be missing to count as vanished, in list lags. */
const NEVER_LISTED_LAGS = 6;

/** How long a returned machine is remembered, in list lags: lists and owners' statuses may still contain it. */
const RETURNED_LAGS = 20;

/** Tracks the known machines and the recently returned ones. */
export class MachineInventory {
  /** By name. */
  readonly machines = new Map<string, KnownMachine>();
  readonly #returnedAtByName = new Map<string, number>();
  #hasAppliedList = false;

  constructor(readonly clusterConfig: ClusterConfig) {}

  /** Adds machines that the cloud has rented for a request. */
  recordScaleOut(names: readonly string[], { type, zone, spot }: RentRequest, now: number): void {
    for (const name of names) {
      if (!this.isReturned(name)) this.#getOrAdd({ name, type, zone, spot, createdAt: now });
    }
  }

  /** Removes machines that have been returned to the cloud. */
  recordScaleIn(names: readonly string[], now: number): void {
    for (const name of names) {
      this.machines.delete(name);
      this.#returnedAtByName.set(name, now);
    }
  }

  /** Whether the machine was recently returned; lists and owners' statuses may still contain it. */
  isReturned(name: string): boolean {
    return this.#returnedAtByName.has(name);
  }

  /** Applies the owners' statuses of their machines. */
  observe(statuses: Iterable<MachineStatus>, now: number): void {
    for (const { name, type, zone, spot, silentMs } of statuses) {
      if (this.isReturned(name)) continue;
      const known = this.#getOrAdd({ name, type, zone, spot, createdAt: now });
      if (known.state === 'booting') known.state = 'running';
      known.upSince ??= now;
      if (silentMs < this.clusterConfig.workerLeaseMs) known.lastHeartbeatAt = now - silentMs;
    }
  }

  /** Applies the cloud's complete list of machines. Returns the names of the machines that have certainly failed. */
  applyCloudList(listed: readonly CloudMachine[], now: number): { failed: string[] } {
    const describedAt = this.#describedAt(listed, now);
    for (const machine of listed) {
      // The list may be older than the return.
      if (!this.isReturned(machine.name)) this.#applyListed(machine, describedAt, now);
    }
    this.#hasAppliedList = true;
    this.#markMissing(new Set(listed.map(({ name }) => name)), describedAt, now);
    this.#forgetReturned(now);
    return { failed: [...this.machines.values()].filter(({ state }) => state === 'failed').map(({ name }) => name) };
  }

  #applyListed({ name, type, zone, spot, ageS, state }: CloudMachine, describedAt: number, now: number): void {
    const createdAt = now - ageS * 1000;
    const known = this.#getOrAdd({ name, type, zone, spot, createdAt });
    known.listedAsOf = Math.max(known.listedAsOf ?? -Infinity, describedAt);
    known.missingSince = null;
    if (known.state !== 'failed') known.state = state;
    // A machine in the first list may have been up since its creation.
    if (state === 'running') known.upSince ??= this.#hasAppliedList ? now : createdAt;
  }

  /**
   * Marks machines as vanished that have been missing from lists for long enough and send no heartbeats. If they were
   * only removed here, their partitions would report them as silent forever, and a zone with only such machines
   * would count as unreachable and get no machines.
   */
  #markMissing(listedNames: ReadonlySet<string>, describedAt: number, now: number): void {
    const { cloudListLagMs, workerLeaseMs } = this.clusterConfig;
    for (const known of this.machines.values()) {
      if (listedNames.has(known.name) || !shouldBeListed(known, describedAt)) continue;
      known.missingSince ??= now;
      const waitMs = cloudListLagMs * (known.listedAsOf !== null ? MISSING_LAGS : NEVER_LISTED_LAGS);
      const isSilent = known.lastHeartbeatAt === null || now - known.lastHeartbeatAt > workerLeaseMs;
      if (now - known.missingSince > waitMs && isSilent) known.state = 'vanished';
    }
  }

  #forgetReturned(now: number): void {
    for (const [name, returnedAt] of this.#returnedAtByName)
      if (now - returnedAt > this.clusterConfig.cloudListLagMs * RETURNED_LAGS) this.#returnedAtByName.delete(name);
  }

  /**
   * Returns the latest time that a list can describe; the list may be far out of date. A machine's age refers to that
   * time, so the latest creation time of the machine plus its age is an upper bound, and the lowest of these bounds is
   * returned. Also tightens the machines' latest creation times.
   */
  #describedAt(listed: readonly CloudMachine[], now: number): number {
    let earliest = Infinity;
    for (const { name, ageS } of listed) {
      const known = this.machines.get(name);
      if (known === undefined) continue;
      known.createdAt = Math.min(known.createdAt, now - ageS * 1000);
      earliest = Math.min(earliest, known.createdAt + ageS * 1000);
    }
    return Math.min(now, earliest);
  }

  /** Whether at least one machine is running and the owners' statuses contain all running ones. */
  hasStatusOfAll(statuses: readonly PartitionStatus[]): boolean {
    const shown = new Set(statuses.flatMap(({ machines }) => machines.map(({ name }) => name)));
    const running = [...this.machines.values()].filter(({ state }) => state === 'running');
    return running.length > 0 && running.every(({ name }) => shown.has(name));
  }

  #getOrAdd(origin: MachineOrigin): KnownMachine {
    let known = this.machines.get(origin.name);
    if (known === undefined) {
      known = newMachine(origin);
      this.machines.set(origin.name, known);
    }
    return known;
  }
}

function newMachine(origin: MachineOrigin): KnownMachine {
  return {
    ...origin,
    state: 'booting',
    listedAsOf: null,
    upSince: null,
    lastHeartbeatAt: null,
    missingSince: null,
  };
}

/**
 * Whether a list that describes the given time contains the machine if it still exists. If older lists counted,
 * machines would be returned while they boot.
 */
function shouldBeListed({ listedAsOf, createdAt }: KnownMachine, describedAt: number): boolean {
  return describedAt > (listedAsOf ?? createdAt);
}
