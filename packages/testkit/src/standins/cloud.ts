// A stand-in of the cloud: it rents machines, lists them, maybe as they were a while ago, and takes them back.
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
import { CloudRecords, type RentedMachine } from './cloud-records';
import type { Scheduler } from '../simulation/sim';

/** What the cloud is made with. */
export interface CloudOptions {
  readonly sim: Scheduler;
  readonly types: readonly MachineType[];
  /** This share of the machines that are rented never comes up. */
  readonly neverUp: number;
  /** Machines of each type and either kind that each zone has. */
  readonly capacity: number;
  /** A machine has come up. */
  readonly onUp: (machine: RentedMachine) => void;
  /** A machine was returned: it and all that is on it are gone. */
  readonly onReturned: (name: string) => void;
}

/** How boots go wrong: so many times as slow, and this share of them never ends. */
export interface BootFault {
  readonly never: number;
  readonly factor: number;
}

/** Fast boots take at least and at most so long. */
const FAST_BOOT_MS = { least: 100, most: 2000 };

function answer(status: number, map: unknown): HttpResponse {
  return { status, body: encode(map) };
}

/** The cloud. Its fields set faults. */
export class SimCloud {
  /** Nobody is served. */
  outage = false;
  /** Machines that are rented now are up within two seconds. */
  fastBoots = false;
  /** How boots of machines that are rented now go wrong; null: they don't. */
  bootFault: BootFault | null = null;
  /** What is listed in place of the machine types; null: they are. */
  listedTypes: unknown = null;
  /** The list describes how machines stood so long ago. */
  listAgeMs = 0;
  readonly #records = new CloudRecords();
  /** By the name of the request: the machines that it got. */
  readonly #requests = new Map<string, string[]>();
  #rentedCount = 0;

  #capacity: number;
  /** Names of machines that are on their way and never come up. */
  readonly #neverUp = new Set<string>();

  constructor(readonly options: CloudOptions) {
    this.#capacity = options.capacity;
  }

  /** Machines of each type and either kind that each zone has now. */
  get capacity(): number {
    return this.#capacity;
  }

  /** Sets it; machines on their way for which their zones have no place any more never come up. */
  set capacity(count: number) {
    this.#capacity = count;
    const booting = this.rented.filter(({ state }) => state === 'booting');
    for (const machine of booting) if (this.#countAlike(machine) > count) this.#neverUp.add(machine.name);
  }

  /** How many machines of the type and kind are up or on their way in the zone. */
  #countAlike({ type, zone, spot }: Pick<CloudMachine, 'type' | 'zone' | 'spot'>): number {
    const isCounted = (machine: RentedMachine): boolean =>
      machine.state !== 'failed' && !this.#neverUp.has(machine.name);
    const counted = this.rented.filter(isCounted);
    return counted.filter((machine) => machine.type === type && machine.zone === zone && machine.spot === spot).length;
  }

  /** How many machines there have ever been. */
  get machinesRented(): number {
    return this.#rentedCount;
  }

  /** What is rented now, as it is. */
  get rented(): readonly RentedMachine[] {
    return this.#records.machines;
  }

  /** Rents a machine that comes up after so long; null: it never does. */
  boot(type: MachineType, zone: string, spot: boolean, afterMs: number | null): string {
    const { sim, onUp } = this.options;
    const name = `m-${String(++this.#rentedCount).padStart(6, '0')}`;
    const described = { name, addr: `${name}:9000`, type: type.name, zone, spot, ageS: 0, bornAt: sim.now };
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

  /** Lists a machine of a type or in a zone that the deployment does not have. */
  addOdd(name: string, odd: 'type' | 'zone'): void {
    const { sim, types } = this.options;
    const type = types[0]!;
    const machine = { name, addr: `${name}:9000`, type: type.name, zone: type.zones[0]!, spot: false, ageS: 0 };
    const strange = odd === 'type' ? { ...machine, type: 'no such type' } : { ...machine, zone: 'no such zone' };
    this.#records.set({ ...strange, state: 'running', bornAt: sim.now }, sim.now);
  }

  /** The machine has stopped by itself and is listed as failed, or was taken back. */
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
        for (const name of returnedNamesOf(decode(body))) this.#takeBack(name);
        return answer(200, {});
      case 'list':
        return this.#list(request.after, request.limit);
    }
  }

  /** A machine that was returned is not listed any more, and its place is free. */
  #takeBack(name: string): void {
    this.options.onReturned(name);
    this.end(name, 'gone');
  }

  #rent({ request, type: name, zone, spot, count }: RentRequest): HttpResponse {
    const known = this.#requests.get(request);
    if (known !== undefined) return answer(200, rentedMap(known));
    const type = this.options.types.find((known) => known.name === name);
    if (type === undefined || !type.zones.includes(zone)) return answer(400, {});
    const granted = Math.min(count, this.#capacity - this.#countAlike({ type: name, zone, spot }));
    if (granted <= 0) return answer(503, { error: 'no capacity' });
    const names = Array.from({ length: granted }, () => this.boot(type, zone, spot, this.#nextBootMs(type)));
    this.#requests.set(request, names);
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
      .map((machine): CloudMachine => ({ ...machine, ageS: (describedAt - machine.bornAt) / 1000 }));
    return answer(200, machineListMap(page, all.length > page.length));
  }
}
