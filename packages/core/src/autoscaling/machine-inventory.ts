// The machines that the leader knows of: from what it rented, from the cloud's lists and from what owners tell.
import type { CloudMachine, RentRequest } from '@gingerlock/wire';
import type { MachineStatus, PartitionStatus } from '../scheduling/partition-status';
import type { ClusterConfig } from '../cluster/cluster-config';

/** What is known of one machine. */
export interface KnownMachine {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** When it was rented, at the latest: known for what this leader rented, otherwise bounded by each list that shows it. */
  createdAt: number;
  /** vanished: not listed any more. Returned once more, for the answer to that is proof. */
  state: 'booting' | 'running' | 'failed' | 'vanished';
  /** The latest time that a list describes in which it stood; null: none has. */
  listedAsOf: number | null;
  /** Since when it is up, as far as lists and reports tell. */
  upSince: number | null;
  /** When it was last seen in a summary, or, if it never was, null. */
  lastHeartbeatAt: number | null;
  missingSince: number | null;
}

export class MachineInventory {
  readonly machines = new Map<string, KnownMachine>();
  readonly #recordScaleIn = new Map<string, number>();
  #firstList = true;

  constructor(readonly clusterConfig: ClusterConfig) {}

  recordScaleOut(names: readonly string[], r: RentRequest, now: number): void {
    for (const name of names) {
      if (this.machines.has(name) || this.#recordScaleIn.has(name)) continue;
      this.machines.set(name, this.#entry(name, r.type, r.zone, r.spot, now));
    }
  }

  recordScaleIn(names: readonly string[], now: number): void {
    for (const name of names) {
      this.machines.delete(name);
      this.#recordScaleIn.set(name, now);
    }
  }

  /** Whether the machine was given back: lists and owners may still show it. */
  isReturned(name: string): boolean {
    return this.#recordScaleIn.has(name);
  }

  /** Takes what the owners tell of their machines. */
  observe(machines: Iterable<MachineStatus>, now: number): void {
    for (const m of machines) {
      if (this.#recordScaleIn.has(m.name)) continue;
      let k = this.machines.get(m.name);
      if (k === undefined) {
        k = this.#entry(m.name, m.type, m.zone, m.spot, now);
        this.machines.set(m.name, k);
      }
      if (k.state === 'booting') k.state = 'running';
      k.upSince ??= now;
      if (m.silentMs < this.clusterConfig.workerLeaseMs) k.lastHeartbeatAt = now - m.silentMs;
    }
  }

  #entry(name: string, type: string, zone: string, spot: boolean, createdAt: number): KnownMachine {
    return {
      name,
      type,
      zone,
      spot,
      createdAt,
      state: 'booting',
      listedAsOf: null,
      upSince: null,
      lastHeartbeatAt: null,
      missingSince: null,
    };
  }

  /** Takes a whole list of machines. Returns those that are surely gone. */
  applyCloudList(machines: readonly CloudMachine[], now: number): { failed: string[] } {
    const names = new Set(machines.map((m) => m.name));
    const describedAt = this.#describedAt(machines, now);
    for (const m of machines) {
      // A list may be older than the return.
      if (this.#recordScaleIn.has(m.name)) continue;
      let k = this.machines.get(m.name);
      if (k === undefined) {
        k = this.#entry(m.name, m.type, m.zone, m.spot, now - m.ageS * 1000);
        this.machines.set(m.name, k);
      }
      k.listedAsOf = Math.max(k.listedAsOf ?? -Infinity, describedAt);
      k.missingSince = null;
      if (k.state !== 'failed') k.state = m.state;
      if (m.state === 'running') k.upSince ??= this.#firstList ? now - m.ageS * 1000 : now;
    }
    this.#firstList = false;
    for (const k of this.machines.values()) {
      if (names.has(k.name) || !this.#shouldBeListed(k, describedAt)) continue;
      k.missingSince ??= now;
      // Listed once and missing now: deleted or taken. Lists may go back in time, so not at once. It is not just forgotten:
      // its part would show it as silent ever after, and a zone of such machines was taken for cut off and never served.
      const wait = this.clusterConfig.cloudListLagMs * (k.listedAsOf !== null ? 2 : 6);
      if (
        now - k.missingSince > wait &&
        (k.lastHeartbeatAt === null || now - k.lastHeartbeatAt > this.clusterConfig.workerLeaseMs)
      )
        k.state = 'vanished';
    }
    for (const [name, at] of this.#recordScaleIn)
      if (now - at > this.clusterConfig.cloudListLagMs * 20) this.#recordScaleIn.delete(name);
    return { failed: [...this.machines.values()].filter((k) => k.state === 'failed').map((k) => k.name) };
  }

  /**
   * The time that a list describes, at the latest; it may be long ago. The age of a machine in it is as of then, and its birth is
   * known or bounded: the machine whose bound is best tells most.
   */
  #describedAt(machines: readonly CloudMachine[], now: number): number {
    let earliest = Infinity;
    for (const { name, ageS } of machines) {
      const known = this.machines.get(name);
      if (known === undefined) continue;
      known.createdAt = Math.min(known.createdAt, now - ageS * 1000);
      earliest = Math.min(earliest, known.createdAt + ageS * 1000);
    }
    return Math.min(now, earliest);
  }

  /** Whether a list that describes that time shows the machine if it is not gone. An old list once had machines returned while they booted. */
  #shouldBeListed({ listedAsOf, createdAt }: KnownMachine, describedAt: number): boolean {
    return describedAt > (listedAsOf ?? createdAt);
  }

  /** Whether the owners have heard every machine that is listed as up. */
  hasHeardAll(statuses: readonly PartitionStatus[]): boolean {
    const heard = new Set(statuses.flatMap((s) => s.machines.map((m) => m.name)));
    const up = [...this.machines.values()].filter((k) => k.state === 'running');
    return up.length > 0 && up.every((k) => heard.has(k.name));
  }
}
