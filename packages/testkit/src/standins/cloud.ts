// A stand-in for the cloud: rents machines, lists them, possibly in a past state, and takes returned machines back.
import type { HttpResponse } from '@gingerlock/clients';
import {
  type CloudMachine,
  decode,
  encode,
  machineListMap,
  type MachineType,
  machineTypesMap,
  parseCloudRequest,
  rentedMap,
  type RentRequest,
  rentRequestOf,
  returnedNamesOf,
} from '@gingerlock/wire';
import type { Scheduler } from '../simulation/sim';
import { CloudRecords, type RentedMachine } from './cloud-records';

/** Options of the cloud stand-in. */
export interface CloudOptions {
  readonly sim: Scheduler;
  readonly types: readonly MachineType[];
  /** The share of rented machines that never come up. */
  readonly neverUp: number;
  /** The number of machines of each type that each zone offers, as spot machines and as ordinary ones. */
  readonly capacity: number;
  /** Called when a machine has come up. */
  readonly onUp: (machine: RentedMachine) => void;
  /** Called when a machine is returned; it must be ended with all its tasks. */
  readonly onReturned: (name: string) => void;
}

/** A fault of boots: their duration is multiplied by `factor`, and the share `never` does not end. */
export interface BootFault {
  readonly never: number;
  readonly factor: number;
}

/** The shortest and longest duration of a fast boot. */
const FAST_BOOT_MS = { least: 100, most: 2000 };

function answer(status: number, map: unknown): HttpResponse {
  return { status, body: encode(map) };
}

/** The cloud stand-in. Its public fields set faults. */
export class SimCloud {
  /** Every request is refused with 503. */
  outage = false;
  /** Machines rented while this is set are up within two seconds. */
  fastBoots = false;
  /** The fault of boots of machines rented while this is set; null: boots have no fault. */
  bootFault: BootFault | null = null;
  /** Replaces the list of machine types; null: the actual types are listed. */
  listedTypes: unknown = null;
  /** The age of the states in the machine list, in milliseconds. */
  listAgeMs = 0;
  readonly #records = new CloudRecords();
  /** By id of a rent request: the machines granted to it. */
  readonly #namesByRequest = new Map<string, string[]>();
  #rentedCount = 0;

  #capacity: number;
  /** Names of booting machines that will never come up because their zone has no capacity for them any more. */
  readonly #neverUp = new Set<string>();

  constructor(readonly options: CloudOptions) {
    this.#capacity = options.capacity;
  }

  /** The current number of machines of each type that each zone offers, as spot machines and as ordinary ones. */
  get capacity(): number {
    return this.#capacity;
  }

  /** Sets the capacity; booting machines that exceed it never come up. */
  set capacity(count: number) {
    this.#capacity = count;
    const booting = this.rented.filter(({ state }) => state === 'booting');
    for (const machine of booting) if (this.#countOfKind(machine) > count) this.#neverUp.add(machine.name);
  }

  /** Counts the machines of the same type and kind that are up or booting in the zone. */
  #countOfKind({ type, zone, spot }: Pick<CloudMachine, 'type' | 'zone' | 'spot'>): number {
    const isCounted = (machine: RentedMachine): boolean =>
      machine.state !== 'failed' && !this.#neverUp.has(machine.name);
    const counted = this.rented.filter(isCounted);
    return counted.filter((machine) => machine.type === type && machine.zone === zone && machine.spot === spot).length;
  }

  /** The total number of machines ever rented. */
  get machinesRented(): number {
    return this.#rentedCount;
  }

  /** The machines rented now, in their current states. */
  get rented(): readonly RentedMachine[] {
    return this.#records.machines;
  }

  /** Rents a machine that comes up after `afterMs`; null: the machine never comes up. */
  boot(type: MachineType, zone: string, spot: boolean, afterMs: number | null): string {
    const { sim, onUp } = this.options;
    const name = `m-${String(++this.#rentedCount).padStart(6, '0')}`;
    const described = { name, addr: `${name}:9000`, type: type.name, zone, spot, ageS: 0, rentedAt: sim.now };
    this.#records.set({ ...described, state: 'booting' }, sim.now);
    if (afterMs === null) return name;
    sim.after(afterMs, () => {
      if (this.#records.get(name)?.state !== 'booting' || this.#neverUp.has(name)) return;
      const machine = { ...described, state: 'running' as const };
      this.#records.set(machine, sim.now);
      onUp(machine);
    });
    return name;
  }

  /** Adds a running machine whose type or zone does not exist in the deployment. */
  listUnknownMachine(name: string, odd: 'type' | 'zone'): void {
    const { sim, types } = this.options;
    const type = types[0]!;
    const machine = { name, addr: `${name}:9000`, type: type.name, zone: type.zones[0]!, spot: false, ageS: 0 };
    const invalid = odd === 'type' ? { ...machine, type: 'no such type' } : { ...machine, zone: 'no such zone' };
    this.#records.set({ ...invalid, state: 'running', rentedAt: sim.now }, sim.now);
  }

  /** Ends a machine: one that failed is listed as failed, one that was taken back is no longer listed. */
  end(name: string, listedAs: 'failed' | 'gone'): void {
    const { now } = this.options.sim;
    const machine = this.#records.get(name);
    if (machine === undefined) return;
    if (listedAs === 'failed') this.#records.set({ ...machine, state: 'failed' }, now);
    else this.#records.delete(name, now);
  }

  /** Answers a request. */
  handle(method: string, path: string, body: Buffer): HttpResponse {
    if (this.outage) return answer(503, { error: 'trouble' });
    const request = parseCloudRequest(method, path);
    switch (request?.kind) {
      case undefined:
        return answer(400, {});
      case 'types':
        return answer(200, this.listedTypes ?? machineTypesMap(this.options.types));
      case 'rent':
        return this.#rent(rentRequestOf(decode(body)));
      case 'return':
        for (const name of returnedNamesOf(decode(body))) this.#returnMachine(name);
        return answer(200, {});
      case 'list':
        return this.#list(request.after, request.limit);
    }
  }

  /** Ends a returned machine: it is no longer listed, and its capacity is free. */
  #returnMachine(name: string): void {
    this.options.onReturned(name);
    this.end(name, 'gone');
  }

  #rent({ request, type: name, zone, spot, count }: RentRequest): HttpResponse {
    const known = this.#namesByRequest.get(request);
    if (known !== undefined) return answer(200, rentedMap(known));
    const type = this.options.types.find((known) => known.name === name);
    if (type === undefined || !type.zones.includes(zone)) return answer(400, {});
    const granted = Math.min(count, this.#capacity - this.#countOfKind({ type: name, zone, spot }));
    if (granted <= 0) return answer(503, { error: 'no capacity' });
    const names = Array.from({ length: granted }, () => this.boot(type, zone, spot, this.#nextBootMs(type)));
    this.#namesByRequest.set(request, names);
    return answer(200, rentedMap(names));
  }

  #nextBootMs({ bootS }: MachineType): number | null {
    const { neverUp } = this.options;
    const { random } = this.options.sim;
    const { bootFault } = this;
    if (this.fastBoots) return FAST_BOOT_MS.least + (FAST_BOOT_MS.most - FAST_BOOT_MS.least) * random();
    if (bootFault !== null && random() < bootFault.never) return null;
    if (neverUp > 0 && random() < neverUp) return null;
    return bootS * 1000 * (0.6 + random()) * (bootFault?.factor ?? 1);
  }

  #list(after: string, limit: number): HttpResponse {
    const describedAt = this.options.sim.now - this.listAgeMs;
    const all = this.#records.machinesAt(describedAt).filter((machine) => machine.name > after);
    const page = all
      .slice(0, limit)
      .map((machine): CloudMachine => ({ ...machine, ageS: (describedAt - machine.rentedAt) / 1000 }));
    return answer(200, machineListMap(page, all.length > page.length));
  }
}
