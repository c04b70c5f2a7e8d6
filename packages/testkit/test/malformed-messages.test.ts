// Controllers as processes, started with the command of the deploy file, while malformed bytes arrive from users, workers,
// peers and services beside honest ones.
import assert from 'node:assert/strict';
import { execFileSync } from 'node:child_process';
import { createConnection } from 'node:net';
import { before, test } from 'node:test';
import { nodeHttp } from '@gingerlock/clients';
import { encodePeer, frame, type PeerMessage } from '@gingerlock/peer';
import { encodeHeartbeat, encodeSubmission, type JobSpec, MAX_BODY_BYTES } from '@gingerlock/wire';
import {
  LoopbackDeployment,
  MalformedMessages,
  type MalformedMessages as Malformed,
  ProcessControllers,
  seeded,
  varint,
} from '../src/index';

/** Memory of a controller at the smallest deployment, in megabytes. */
const RAM_MB = 114;

/** A health check has to be answered within this time (PROTOCOL), in milliseconds. */
const UP_CHECK_INTERVAL_MS = 250;

/** How long a sender waits for an answer, in milliseconds. */
const ANSWER_MS = 5000;

const SEED = Number(process.env.GINGERLOCK_SEED ?? 601);

const SERVICE: JobSpec = {
  id: 'j-000001',
  jobClass: 'serve',
  team: 'red',
  kind: 'service',
  priority: 'production',
  tasks: 2,
  cpus: 1,
  gpus: 1,
  memoryGb: 1,
  image: 'img',
  imageGb: 1,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: false,
  estimateS: 0,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
  awaits: [],
};

const REPORT = encodeHeartbeat({
  machine: 'm-999999',
  addr: '127.0.0.1:1',
  type: 'box',
  zone: 'north',
  spot: false,
  agentEpoch: 1,
  sequenceNumber: 1,
  fencingToken: 0,
  noticeS: null,
  tasks: [],
});

/** The submission that ended all controllers of the incident: a list that claims 2^25 items, in another one. */
const INCIDENT_SUBMISSION = Buffer.from('dd02000000dd02000000', 'hex');

before(() => execFileSync(process.execPath, ['build.mjs']));

/** A deployment whose controllers are processes, with what was seen of their health. */
class AttackedDeployment {
  readonly world: LoopbackDeployment;
  readonly unanswered: string[] = [];
  readonly random = seeded(SEED);
  #runner!: ProcessControllers;
  readonly #http = nodeHttp();
  #checks: NodeJS.Timeout | null = null;

  constructor() {
    const options = {
      seed: SEED,
      controllers: 3,
      machines: 3,
      guaranteedGpus: 4,
      gpusMax: 12,
      ramMb: RAM_MB,
      features: {},
    };
    this.world = new LoopbackDeployment(
      options,
      (network) => (this.#runner = new ProcessControllers(network, options)),
    );
  }

  /** Starts the deployment with a service that runs, and then checks the health of all controllers until it stops. */
  async start(): Promise<void> {
    await this.world.start();
    await this.world.submit(SERVICE);
    assert.ok(await this.world.until(() => this.world.running.size === SERVICE.tasks, 30_000), 'the service runs');
    this.#checks = setInterval(() => {
      for (const name of this.world.controllers)
        void this.#runner.isUp(name).then((isUp) => {
          if (!isUp) this.unanswered.push(name);
        });
    }, UP_CHECK_INTERVAL_MS);
  }

  async stop(): Promise<void> {
    if (this.#checks !== null) clearInterval(this.#checks);
    await this.world.stop();
  }

  addressOf(controller: number): string {
    return this.world.network.addressOf(`node-${controller}`);
  }

  /** Sends a body, and returns the status of the answer; null: there was none. */
  async post(controller: number, path: string, body: Buffer): Promise<number | null> {
    try {
      return (await this.#http(this.addressOf(controller), 'POST', path, body, ANSWER_MS)).status;
    } catch {
      return null;
    }
  }

  /** Sends bytes to a listener, and waits until the other side closes the connection. */
  sendRaw(address: string, bytes: readonly Buffer[]): Promise<void> {
    const [host, port] = address.split(':');
    return new Promise((resolve) => {
      const socket = createConnection({ host: host!, port: Number(port) });
      const timer = setTimeout(() => socket.destroy(), ANSWER_MS);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        clearTimeout(timer);
        resolve();
      });
      socket.resume();
      for (const part of bytes) socket.write(part);
    });
  }

  peerAddressOf(controller: number): string {
    return this.world.network.addressOf(`peer:node-${controller}`);
  }

  /** Checks that nothing of the deployment was harmed. */
  async checkUnharmed(): Promise<void> {
    const { world } = this;
    await world.submit({ ...SERVICE, id: 'j-000002', tasks: 1 });
    assert.ok(await world.until(() => world.running.size === SERVICE.tasks + 1, 30_000), 'a further service runs');
    for (const [name, process] of this.#runner.processes) {
      assert.equal(process.hasEndedByItself, false, `${name} has ended: ${process.log.slice(-800)}`);
      const peakMb = process.peakResidentBytes() / 1e6;
      assert.ok(peakMb < RAM_MB, `${name} used ${peakMb.toFixed(1)} MB`);
    }
    assert.deepEqual(this.unanswered, [], 'health checks without an answer');
    assert.deepEqual(world.violations, []);
    for (const worker of world.workers.values()) assert.equal(worker.agentEpoch, 1, `${worker.name} kept its lease`);
  }

  logs(): string {
    return [...this.#runner.processes.values()].map(({ log }) => log).join('');
  }
}

async function withDeployment(run: (deployment: AttackedDeployment) => Promise<void>): Promise<void> {
  const deployment = new AttackedDeployment();
  try {
    await deployment.start();
    await run(deployment);
    await deployment.checkUnharmed();
  } finally {
    await deployment.stop();
  }
}

function malformed(deployment: AttackedDeployment): Malformed {
  return new MalformedMessages(deployment.random, 'messagepack');
}

test('a body of ten bytes that claims lists of 2^25 items gets 400 and ends no controller', () =>
  withDeployment(async (deployment) => {
    for (const path of ['/submissions', '/checkin'])
      for (const controller of [0, 1, 2])
        assert.equal(await deployment.post(controller, path, INCIDENT_SUBMISSION), 400, path);
    await Promise.all(
      Array.from({ length: 60 }, (_, index) => deployment.post(index % 3, '/submissions', INCIDENT_SUBMISSION)),
    );
  }));

test('malformed bodies of users and workers get 400 and end no controller', () =>
  withDeployment(async (deployment) => {
    const mutations = malformed(deployment);
    const valid = [REPORT, encodeSubmission({ ...SERVICE, id: 'j-000009', team: 'nobody' })];
    for (let round = 0; round < 40; round++) {
      const statuses = await Promise.all(
        Array.from({ length: 12 }, (_, index) => {
          const body = mutations.from(valid[index % 2]!, MAX_BODY_BYTES);
          return deployment.post(index % 3, index % 2 === 0 ? '/checkin' : '/submissions', body);
        }),
      );
      const unexpected = statuses.filter((status) => ![200, 201, 400, 421, 422, 503].includes(status ?? 0));
      assert.deepEqual(unexpected, []);
    }
  }));

test('bodies that arrive in chunks of one byte take no more memory than others and end no controller', () =>
  withDeployment(async (deployment) => {
    const head = 'POST /submissions HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n';
    const chunks = Buffer.from('1\r\n\x80\r\n'.repeat(MAX_BODY_BYTES - 1), 'latin1');
    // None of the bodies is complete, so that all of them are held at once.
    const sends = Array.from({ length: 60 }, () =>
      deployment.sendRaw(deployment.addressOf(0), [Buffer.from(head), chunks]),
    );
    await Promise.all(sends);
  }));

test('frames that claim lists longer than themselves close the connection and end no controller', () =>
  withDeployment(async (deployment) => {
    const mutations = new MalformedMessages(deployment.random, 'avro');
    const hello = frame(encodePeer({ kind: 'Hello', version: 7, node: 'node-1' }));
    const valid: PeerMessage = { kind: 'MachineDirectives', term: 1, drain: ['m-1'], gone: [] };
    // The message of index 4 has a term and two lists.
    const claim = Buffer.concat([varint(4), varint(0), varint(2 ** 28)]);
    for (const before of [[], [hello]]) {
      await deployment.sendRaw(deployment.peerAddressOf(0), [...before, frame(claim)]);
      await deployment.sendRaw(deployment.peerAddressOf(2), [...before, Buffer.from('7fffffff', 'hex')]);
      for (let round = 0; round < 30; round++)
        await deployment.sendRaw(deployment.peerAddressOf(0), [
          ...before,
          frame(mutations.from(encodePeer(valid), 256 * 1024)),
          Buffer.from('7fffffff', 'hex'),
        ]);
    }
  }));

test('garbled answers of the state service and the cloud count as no answer and end no controller', () =>
  withDeployment(async (deployment) => {
    const mutations = malformed(deployment);
    const { world } = deployment;
    let garbled = 0;
    world.answerOf = (service, answer) => {
      if (deployment.random() > (service === 'cloud' ? 0.9 : 0.3)) return answer;
      garbled++;
      if (garbled % 2 === 0) return { status: 200, body: INCIDENT_SUBMISSION };
      return { status: answer.status, body: mutations.from(answer.body, 1024 * 1024) };
    };
    await world.pause(5000);
    world.answerOf = (_service, answer) => answer;
    assert.ok(garbled > 20, `${garbled} answers were garbled`);
  }));
