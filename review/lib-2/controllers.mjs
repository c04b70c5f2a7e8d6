// Starts the project's controllers as separate processes, by the command of the deploy file.
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { freePort } from './http.mjs';

/** The command of the deploy file, without the path of the settings. */
function runCommand() {
  const line = /^run = "(.*)"$/m.exec(readFileSync('deploy/service.toml', 'utf8'));
  return line[1].split(' ');
}

/** The controllers of a deployment. `facts` are those of the settings; `zones` are the controllers' zones in turn. */
export class Controllers {
  /** By name: client address, peer address, zone. */
  nodes = new Map();
  #processes = new Map();
  #directory = mkdtempSync(join(tmpdir(), 'review-'));
  #isStopping = false;

  constructor({ facts, zones, record, env = {}, logFile = null }) {
    this.facts = facts;
    this.zones = zones;
    this.record = record;
    this.env = env;
    this.logStream = logFile === null ? null : createWriteStream(logFile);
  }

  /** Chooses the addresses of all controllers. */
  async reserve(names) {
    for (const [index, name] of names.entries())
      this.nodes.set(name, {
        client: `127.0.0.1:${await freePort()}`,
        peer: `127.0.0.1:${await freePort()}`,
        zone: this.zones[index % this.zones.length],
      });
  }

  /** Addresses of the store and the cloud for a controller, and of its peers as it sees them. */
  services = () => ({});
  peerAddress = (_from, to) => this.nodes.get(to).peer;

  start(name) {
    const { client, peer, zone } = this.nodes.get(name);
    const peers = [...this.nodes]
      .filter(([other]) => other !== name)
      .map(([other, { zone: area }]) => ({ node: other, area, address: this.peerAddress(name, other) }));
    const settings = {
      node: name,
      area: zone,
      client_listen: client,
      cluster_listen: peer,
      peers,
      services: this.services(name),
      facts: this.facts,
    };
    const file = join(this.#directory, `${name}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const [program, ...args] = runCommand();
    const child = spawn(program, [...args, file], {
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { PATH: process.env.PATH, LOG_LEVEL: 'info', ...this.env },
    });
    let tail = '';
    child.stderr.on('data', (chunk) => {
      tail = (tail + chunk).slice(-2000);
      this.logStream?.write(chunk);
    });
    this.#processes.set(name, child);
    child.ended = new Promise((resolve) => {
      child.on('exit', (code, signal) => {
        child.hasEnded = true;
        if (!child.wasKilled && !this.#isStopping) {
          this.record(`controller ${name} ended by itself: code ${code}, signal ${signal}`);
          const reason = /FATAL ERROR[^\n]*/.exec(tail)?.[0] ?? tail.split('\n').slice(-3).join(' ');
          this.record(`controller ${name} wrote last: ${reason}`);
          this.onEnd(name);
        }
        resolve();
      });
    });
    this.record(`controller ${name} started`);
  }

  /** Called when a controller has ended by itself. */
  onEnd = () => undefined;

  isRunning(name) {
    const child = this.#processes.get(name);
    return child !== undefined && child.hasEnded !== true;
  }

  signal(name, signal) {
    this.record(`controller ${name} gets ${signal}`);
    const child = this.#processes.get(name);
    if (signal === 'SIGKILL') child.wasKilled = true;
    child.kill(signal);
    return signal === 'SIGKILL' ? child.ended : Promise.resolve();
  }

  pid(name) {
    return this.#processes.get(name).pid;
  }

  async stop() {
    this.#isStopping = true;
    for (const child of this.#processes.values()) if (child.hasEnded !== true) child.kill('SIGKILL');
    await Promise.all([...this.#processes.values()].map(({ ended }) => ended));
    rmSync(this.#directory, { recursive: true, force: true });
    this.logStream?.end();
  }
}
