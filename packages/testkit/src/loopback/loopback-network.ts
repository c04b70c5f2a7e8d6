// The network of a deployment on loopback: names of hosts stand for addresses on 127.0.0.1.
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { type Http, nodeHttp } from '@gingerlock/clients';
import type { Handler } from '../simulation/network';
import type { WorkerNetwork } from '../standins/worker';

/** HTTP between named hosts, each of which has a server of its own; hosts can be let hang. */
export class LoopbackNetwork implements WorkerNetwork {
  readonly hosts = {
    set: (name: string, handler: Handler): void => void this.listen(name, handler),
    delete: (name: string): void => this.close(name),
  };
  readonly #servers = new Map<string, Server>();
  readonly #addresses = new Map<string, string>();
  readonly #http = nodeHttp();
  /** Hosts that hang, and what waits there until they resume. */
  readonly #hung = new Map<string, (() => void)[]>();

  /** Serves the host at a free port. */
  async listen(name: string, handler: Handler): Promise<void> {
    const server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => {
        const answer = handler(request.method ?? 'GET', request.url ?? '/', Buffer.concat(chunks), 'loopback');
        void Promise.resolve(answer).then(({ status, body }) => response.writeHead(status).end(body));
      });
    });
    this.#servers.set(name, server);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    this.#addresses.set(name, `127.0.0.1:${(server.address() as AddressInfo).port}`);
  }

  /** Notes where a host listens that has a server of its own. */
  register(name: string, address: string): void {
    this.#addresses.set(name, address);
  }

  /** Ends the server of a host and breaks its connections. */
  close(name: string): void {
    this.#servers.get(name)?.close();
    this.#servers.get(name)?.closeAllConnections();
    this.#servers.delete(name);
  }

  /** Where a host listens, as address and port. */
  addressOf(name: string): string {
    // A port on which nothing listens: a host that is not there refuses.
    return this.#addresses.get(name) ?? '127.0.0.1:1';
  }

  /** A client that takes names of hosts for addresses. */
  http(): Http {
    return (name, method, path, body, timeoutMs) => this.#http(this.addressOf(name), method, path, body, timeoutMs);
  }

  /** Runs what happens on a host: at once, or once it resumes. */
  on(host: string, run: () => void): void {
    const held = this.#hung.get(host);
    if (held === undefined) run();
    else held.push(run);
  }

  /** What happens on the host from now on waits. */
  hang(host: string): void {
    this.#hung.set(host, []);
  }

  hangs(host: string): boolean {
    return this.#hung.has(host);
  }

  /** Runs what has waited on the host, and from now on all at once. */
  resume(host: string): void {
    const held = this.#hung.get(host) ?? [];
    this.#hung.delete(host);
    for (const run of held) run();
  }

  /** Ends all servers. */
  stop(): void {
    for (const name of [...this.#servers.keys()]) this.close(name);
  }
}

/** A port of 127.0.0.1 on which nothing listens at the moment. */
export async function freePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}
