// The network of a loopback deployment, which maps host names to loopback addresses.
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { type Http, nodeHttp } from '@gingerlock/clients';
import type { Handler } from '../simulation/network';
import type { WorkerNetwork } from '../standins/worker-world';

/** HTTP between named hosts, each with its own server. Hosts can be made to hang. */
export class LoopbackNetwork implements WorkerNetwork {
  readonly hosts = {
    set: (name: string, handler: Handler): void => void this.listen(name, handler),
    delete: (name: string): void => this.close(name),
  };
  readonly #servers = new Map<string, Server>();
  readonly #addresses = new Map<string, string>();
  readonly #http = nodeHttp();
  /** Hosts that hang, with the events that wait until they resume. */
  readonly #hung = new Map<string, (() => void)[]>();

  /** Starts a server for the host at a free port. */
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

  /** Registers the address of a host whose server is started elsewhere. */
  register(name: string, address: string): void {
    this.#addresses.set(name, address);
  }

  /** Ends the server of a host and breaks its connections. */
  close(name: string): void {
    this.#servers.get(name)?.close();
    this.#servers.get(name)?.closeAllConnections();
    this.#servers.delete(name);
  }

  /** Returns the address and port at which a host listens. */
  addressOf(name: string): string {
    // Nothing listens on port 1, so that requests to an unknown host are refused.
    return this.#addresses.get(name) ?? '127.0.0.1:1';
  }

  /** Returns an HTTP client that resolves host names to their addresses. */
  http(): Http {
    return (name, method, path, body, timeoutMs) => this.#http(this.addressOf(name), method, path, body, timeoutMs);
  }

  /** Runs an event on a host: at once, or when the host resumes. */
  on(host: string, run: () => void): void {
    const held = this.#hung.get(host);
    if (held === undefined) run();
    else held.push(run);
  }

  /** Makes a host hang: its events wait until it resumes. */
  hang(host: string): void {
    this.#hung.set(host, []);
  }

  hangs(host: string): boolean {
    return this.#hung.has(host);
  }

  /** Ends the hang of a host, and runs its waiting events. */
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

/** Returns a port of 127.0.0.1 that is free now. */
export async function freePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}
