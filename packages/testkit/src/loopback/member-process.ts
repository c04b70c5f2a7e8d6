// A stand-in for a member of a replica group, as a separate process. It loads, learns its group from a controller, and
// answers requests until it is killed. The head (rank 0) answers clients; the other members answer the head.
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { nodeHttp } from '@gingerlock/clients';
import {
  decodeRendezvousAnswer,
  encodeRendezvousRequest,
  RENDEZVOUS_PATH,
  type RendezvousAnswer,
} from '@gingerlock/wire';

/** Options of a member, passed to its process as JSON. */
export interface MemberOptions {
  readonly task: string;
  readonly attempt: number;
  /** The member's address. All members of a group listen at the same port, each at its machine's address. */
  readonly host: string;
  readonly port: number;
  /** The addresses of the controllers. */
  readonly controllers: readonly string[];
  readonly loadMs: number;
  /** Whether the member stops serving when its lease has expired. */
  readonly keepsLease: boolean;
  /** Whether a member answers only requests for its own generation, and the head uses only answers of its own. */
  readonly checksGeneration: boolean;
}

/** The contribution of one member to an answer. */
export interface PartialAnswer {
  readonly rank: number;
  readonly generation: number;
  readonly attempt: number;
}

/** An answer of the head. */
export interface GroupAnswer {
  readonly generation: number;
  readonly worldSize: number;
  readonly partials: readonly PartialAnswer[];
}

/** The path at which the head answers clients. */
export const ASK_PATH = '/ask';

/** The path at which the other members answer the head. */
export const PARTIAL_PATH = '/part';

/** A member renews its lease after this share of the lease. */
const RENEWAL_SHARE = 0.3;

/** How often a member that may not serve asks for a lease. */
const RETRY_MS = 100;

/** How long a member waits for an answer of a controller or of another member. */
const REQUEST_TIMEOUT_MS = 1000;

/** HTTP statuses of refused requests. */
const NOT_SERVING = 503;
const OTHER_GENERATION = 409;
const NOT_THE_HEAD = 421;

class Member {
  #group: RendezvousAnswer | null = null;
  #servesUntil = -Infinity;
  #renewalCount = 0;
  readonly #http = nodeHttp();

  constructor(readonly options: MemberOptions) {}

  async run(): Promise<void> {
    await pause(this.options.loadMs);
    createServer((request, response) => {
      this.#handle(request, response).catch(() => answer(response, NOT_SERVING, null));
    }).listen(this.options.port, this.options.host);
    for (;;) {
      await this.#renewLease();
      await pause(this.#mayServe() ? this.#group!.serveMs * RENEWAL_SHARE : RETRY_MS);
    }
  }

  /** Asks a controller for the group and a lease. The lease begins when the request is sent, not at the answer. */
  async #renewLease(): Promise<void> {
    const { task: taskName, attempt, controllers } = this.options;
    const sentAt = performance.now();
    const controller = controllers[this.#renewalCount++ % controllers.length]!;
    try {
      const request = encodeRendezvousRequest({ task: taskName, attempt });
      const { status, body } = await this.#http(controller, 'POST', RENDEZVOUS_PATH, request, REQUEST_TIMEOUT_MS);
      if (status === 200) {
        this.#group = decodeRendezvousAnswer(body);
        this.#servesUntil = Math.max(this.#servesUntil, sentAt + this.#group.serveMs);
      } else if (status === OTHER_GENERATION) {
        this.#servesUntil = -Infinity;
      }
    } catch {
      // The next attempt asks another controller; meanwhile the current lease stays valid.
    }
  }

  #mayServe(): boolean {
    return this.#group !== null && (performance.now() < this.#servesUntil || !this.options.keepsLease);
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://member');
    if (!this.#mayServe()) {
      answer(response, NOT_SERVING, null);
      return;
    }
    if (url.pathname === PARTIAL_PATH) {
      this.#answerPartially(Number(url.searchParams.get('generation')), response);
      return;
    }
    if (this.#group!.rank !== 0) {
      answer(response, NOT_THE_HEAD, null);
      return;
    }
    return this.#answerClient(this.#group!, response);
  }

  #answerPartially(generation: number, response: ServerResponse): void {
    const group = this.#group!;
    if (this.options.checksGeneration && generation !== group.generation)
      return answer(response, OTHER_GENERATION, null);
    answer(response, 200, { rank: group.rank, generation: group.generation, attempt: this.options.attempt });
  }

  /** Answers a client after all members have contributed, if the head still may serve then. */
  async #answerClient(
    { generation, worldSize, members, rank }: RendezvousAnswer,
    response: ServerResponse,
  ): Promise<void> {
    const own: PartialAnswer = { rank, generation, attempt: this.options.attempt };
    const others = members.filter((_, other) => other !== rank);
    const partials = [own, ...(await Promise.all(others.map((host) => this.#partialOf(host, generation))))];
    const hasOneGeneration = partials.every((partial) => partial.generation === generation);
    if (this.options.checksGeneration && !hasOneGeneration) {
      answer(response, OTHER_GENERATION, null);
      return;
    }
    if (!this.#mayServe()) {
      answer(response, NOT_SERVING, null);
      return;
    }
    answer(response, 200, { generation, worldSize, partials } satisfies GroupAnswer);
  }

  async #partialOf(host: string, generation: number): Promise<PartialAnswer> {
    const path = `${PARTIAL_PATH}?generation=${generation}`;
    const { status, body } = await this.#http(`${host}:${this.options.port}`, 'GET', path, null, REQUEST_TIMEOUT_MS);
    if (status !== 200) throw new Error(`member refused the request with status ${status}`);
    return JSON.parse(body.toString()) as PartialAnswer;
  }
}

function answer(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { connection: 'close' }).end(value === null ? '' : JSON.stringify(value));
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Runs a member until it is killed or the process that started it ends. */
export function runMember(options: MemberOptions): void {
  process.stdin.on('end', () => process.exit()).resume();
  void new Member(options).run();
}
