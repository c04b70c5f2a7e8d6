// A stand-in for the cloud. Its machines are up from the start; it has no capacity for more.
import { listen } from './wire.mjs';

export const MACHINE_TYPE = {
  sku: 'wadi-48',
  cores: 48,
  accelerators: 8,
  memory_gb: 192,
  cache_gb: 300,
  fetch_gb_per_s: 9,
  price: 29,
  low_price: 7.28,
  ready_s: 35,
};

export class Cloud {
  /** Names of the machines that were returned. */
  returned = new Set();

  /** `machines`: name, addr and yard of each machine. */
  constructor(machines, yards, record) {
    this.machines = machines;
    this.yards = yards;
    this.record = record;
  }

  async start(port) {
    await listen(port, (method, url, body) => this.#answer(method, new URL(url, 'http://cloud'), body));
  }

  #answer(method, url, body) {
    if (url.pathname === '/machine_types') return [200, { breeds: [{ ...MACHINE_TYPE, yards: this.yards }] }];
    if (url.pathname === '/rentals/return') {
      for (const name of body.rigs) {
        this.record(`cloud: machine ${name} returned`);
        this.returned.add(name);
        this.machines.find((machine) => machine.name === name)?.onReturned();
      }
      return [200, {}];
    }
    if (method === 'POST') return [503, { error: 'no capacity' }];
    const from = url.searchParams.get('from') ?? '';
    const rigs = this.machines
      .filter(({ name }) => name > from && !this.returned.has(name))
      .map(({ name, addr, yard }) => ({
        name_id: name,
        addr,
        breed: MACHINE_TYPE.sku,
        yard,
        borrowed: false,
        status: 'running',
        held_s: 600,
      }));
    return [200, { rigs, more: false }];
  }
}
