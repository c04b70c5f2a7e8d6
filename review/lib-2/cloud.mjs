// A stand-in for the cloud (PROTOCOL, "Controller nodes -> cloud"): a fixed set of machines that are up at the start,
// and, if the case allows it, more to rent.
import { performance } from 'node:perf_hooks';
import { serveHttp, unpack } from './http.mjs';

/** The cloud. `capacity`: how many machines may be rented; `onRented(machine)` and `onReturned(name)` tell the case. */
export class Cloud {
  machines = new Map();
  isOut = false;
  capacity = 0;
  onRented = () => undefined;
  onReturned = () => undefined;
  #answers = new Map();
  #count = 0;

  constructor(types, record) {
    this.types = types;
    this.record = record;
  }

  add({ type, zone, spot = false, status = 'running' }) {
    const name = `m-${String(++this.#count).padStart(6, '0')}`;
    this.machines.set(name, {
      name_id: name,
      addr: '',
      breed: type,
      yard: zone,
      borrowed: spot,
      status,
      at: performance.now(),
    });
    return name;
  }

  async listen() {
    this.server = await serveHttp((method, path, body) => this.#handle(method, path, body));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  #handle(method, path, body) {
    if (this.isOut) return { status: 503, body: { error: 'trouble' } };
    const url = new URL(path, 'http://cloud');
    if (url.pathname === '/machine_types') return { status: 200, body: { breeds: this.types } };
    if (method === 'GET' && url.pathname === '/rentals') return this.#list(url.searchParams);
    if (method === 'POST' && url.pathname === '/rentals') return this.#rent(unpack(body));
    if (method === 'POST' && url.pathname === '/rentals/return') return this.#return(unpack(body));
    return { status: 400, body: { error: 'malformed' } };
  }

  #list(params) {
    const from = params.get('from') ?? '';
    const most = Math.min(500, Number(params.get('most') ?? 500));
    const all = [...this.machines.values()].filter(({ name_id: name }) => name > from);
    const rigs = all.slice(0, most).map(({ at, ...rig }) => ({ ...rig, held_s: (performance.now() - at) / 1000 }));
    return { status: 200, body: { rigs, more: all.length > rigs.length } };
  }

  #rent({ hire, breed, yard, borrowed, number }) {
    const known = this.#answers.get(hire);
    if (known !== undefined) return { status: 200, body: { rigs: known } };
    const count = Math.min(number, 50, this.capacity);
    if (count === 0) return { status: 503, body: { error: 'no capacity' } };
    this.capacity -= count;
    const rigs = Array.from({ length: count }, () =>
      this.add({ type: breed, zone: yard, spot: borrowed, status: 'booting' }),
    );
    this.#answers.set(hire, rigs);
    this.record(`cloud: ${rigs.join(', ')} rented`);
    for (const name of rigs) this.onRented(this.machines.get(name));
    return { status: 200, body: { rigs } };
  }

  #return({ rigs }) {
    for (const name of rigs) {
      if (!this.machines.delete(name)) continue;
      this.record(`cloud: ${name} returned`);
      this.onReturned(name);
    }
    return { status: 200, body: {} };
  }
}
