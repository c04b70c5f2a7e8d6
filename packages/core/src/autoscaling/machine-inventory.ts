// The machines that the leader knows of: from what it rented, from the cloud's lists and from the owners' statuses.
import type { CloudMachine, RentRequest } from '@gingerlock/wire';
import type { ClusterConfig } from '../cluster/cluster-config';
import type { MachineStatus, PartitionStatus } from '../scheduling/partition-status';

/** What is known of one machine. Moments are on the leader's clock, in milliseconds. */
export interface KnownMachine {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /**
   * When it was rented, at the latest: known for what this leader rented, otherwise bounded by each list that shows it.
   */
  createdAt: number;
  /** vanished: not listed any more. Returned once more, for the answer to that is proof. */
  state: 'booting' | 'running' | 'failed' | 'vanished';
  /** The latest time that a list describes in which it was; null: it was in none. */
  listedAsOf: number | null;
  /** Since when it is up, as far as lists and heartbeats show. */
  upSince: number | null;
  /** When it sent the last heartbeat that a status shows; null: none shows any. */
  lastHeartbeatAt: number | null;
  /** Since when lists that should show it do not; null: none lacks it. */
  missingSince: number | null;
}

/** What tells one machine from others, and when it was rented at the latest. */
type MachineOrigin = Pick<KnownMachine, 'name' | 'type' | 'zone' | 'spot' | 'createdAt'>;

/** How long a machine that was listed before has to be missing, in list lags: lists may go back in time. */
const MISSING_LAGS = 2;

/** How long a machine that was never listed has to be missing, in list lags. */
const NEVER_LISTED_LAGS = 6;

/** How long a returned machine is remembered, in list lags: lists and owners may still show it. */
const RETURNED_LAGS = 20;

/** The known machines, and those that were returned lately. */
export class MachineInventory {
  /** By name. */
  readonly machines = new Map<string, KnownMachine>();
  readonly #returnedAtByName = new Map<string, number>();
  #hasAppliedList = false;

  constructor(readonly clusterConfig: ClusterConfig) {}

  /** The cloud has rented these machines. */
  recordScaleOut(names: readonly string[], { type, zone, spot }: RentRequest, now: number): void {
    for (const name of names) {
      if (!this.isReturned(name)) this.#knownOrNew({ name, type, zone, spot, createdAt: now });
    }
  }

  /** The cloud has taken these machines back. */
  recordScaleIn(names: readonly string[], now: number): void {
    for (const name of names) {
      this.machines.delete(name);
      this.#returnedAtByName.set(name, now);
    }
  }

  /** Whether the machine was returned lately: lists and owners may still show it. */
  isReturned(name: string): boolean {
    return this.#returnedAtByName.has(name);
  }

  /** Takes the owners' statuses of their machines. */
  observe(statuses: Iterable<MachineStatus>, now: number): void {
    for (const { name, type, zone, spot, silentMs } of statuses) {
      if (this.isReturned(name)) continue;
      const known = this.#knownOrNew({ name, type, zone, spot, createdAt: now });
      if (known.state === 'booting') known.state = 'running';
      known.upSince ??= now;
      if (silentMs < this.clusterConfig.workerLeaseMs) known.lastHeartbeatAt = now - silentMs;
    }
  }

  /** Takes a whole list of the cloud's machines. Returns the names of those that have certainly failed. */
  applyCloudList(listed: readonly CloudMachine[], now: number): { failed: string[] } {
    const describedAt = this.#describedAt(listed, now);
    for (const machine of listed) {
      // A list may be older than the return.
      if (!this.isReturned(machine.name)) this.#applyListed(machine, describedAt, now);
    }
    this.#hasAppliedList = true;
    this.#markMissing(new Set(listed.map(({ name }) => name)), describedAt, now);
    this.#forgetReturned(now);
    return { failed: [...this.machines.values()].filter(({ state }) => state === 'failed').map(({ name }) => name) };
  }

  #applyListed({ name, type, zone, spot, ageS, state }: CloudMachine, describedAt: number, now: number): void {
    const createdAt = now - ageS * 1000;
    const known = this.#knownOrNew({ name, type, zone, spot, createdAt });
    known.listedAsOf = Math.max(known.listedAsOf ?? -Infinity, describedAt);
    known.missingSince = null;
    if (known.state !== 'failed') known.state = state;
    // When a machine of the first list came up is not known: it may have been up all the time.
    if (state === 'running') known.upSince ??= this.#hasAppliedList ? now : createdAt;
  }

  /**
   * Marks machines as vanished that lists lack for long enough and that send no heartbeat. They are not just
   * forgotten: their partitions would show them as silent for ever, and a zone of such machines would count as cut
   * off and get no machine.
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
   * The time that a list describes, at the latest; it may be long ago. The age of a machine in it is as of then, and
   * when it was created is known or bounded: the machine with the tightest bound decides. Tightens the bounds of the
   * machines.
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

  /** Whether the owners' statuses show every machine that is listed as up, of which there is one at least. */
  hasStatusOfAll(statuses: readonly PartitionStatus[]): boolean {
    const shown = new Set(statuses.flatMap(({ machines }) => machines.map(({ name }) => name)));
    const running = [...this.machines.values()].filter(({ state }) => state === 'running');
    return running.length > 0 && running.every(({ name }) => shown.has(name));
  }

  #knownOrNew(origin: MachineOrigin): KnownMachine {
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
 * Whether a list that describes that time shows the machine if it is not gone. An older list proves nothing: machines
 * would be returned for it while they boot.
 */
function shouldBeListed({ listedAsOf, createdAt }: KnownMachine, describedAt: number): boolean {
  return describedAt > (listedAsOf ?? createdAt);
}
