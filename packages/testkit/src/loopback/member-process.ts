// A stand-in of a member of a replica group, as a process of its own: it loads, meets the others at the controllers,
// answers, and dies. Rank 0, the head, answers clients; the others answer the head.
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { nodeHttp } from '@gingerlock/clients';
import {
  decodeRendezvousAnswer,
  encodeRendezvousRequest,
  RENDEZVOUS_PATH,
  type RendezvousAnswer,
} from '@gingerlock/wire';

/** What a member is started with; its process gets it as JSON. */
export interface MemberOptions {
  readonly task: string;
  readonly attempt: number;
  /** Where it listens. All members of a group listen at the same port, each on its own machine's address. */
  readonly host: string;
  readonly port: number;
  /** Addresses of the controllers. */
  readonly controllers: readonly string[];
  readonly loadMs: number;
  /** Whether it stops serving when its lease has expired. */
  readonly keepsLease: boolean;
  /** Whether it answers the head only under its own generation, and as the head uses only answers of its own. */
  readonly checksGeneration: boolean;
}

/** What one member adds to an answer. */
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

/** The path at the head for clients. */
export const ASK_PATH = '/ask';

/** The path at any other member for the head. */
export const PARTIAL_PATH = '/part';

/** A member asks again after this share of the time that it may serve. */
const RENEW_SHARE = 0.3;

/** While it may not serve, it asks so often. */
const RETRY_MS = 100;

/** How long a member waits for an answer of a controller or of another member. */
const REQUEST_MS = 1000;

/** Why a request is not answered, as a status. */
const NOT_SERVING = 503;
const OTHER_GENERATION = 409;
const NOT_THE_HEAD = 421;

class Member {
  #group: RendezvousAnswer | null = null;
  #servesUntil = -Infinity;
  #asked = 0;
  readonly #http = nodeHttp();

  constructor(readonly options: MemberOptions) {}

  async run(): Promise<void> {
    await pause(this.options.loadMs);
    createServer((request, response) => {
      this.#handle(request, response).catch(() => answer(response, NOT_SERVING, null));
    }).listen(this.options.port, this.options.host);
    for (;;) {
      await this.#meet();
      await pause(this.#serves() ? this.#group!.serveMs * RENEW_SHARE : RETRY_MS);
    }
  }

  /** The lease counts from the sending of the question: the later the answer comes, the less is left of it. */
  async #meet(): Promise<void> {
    const { task: taskName, attempt, controllers } = this.options;
    const sentAt = performance.now();
    const controller = controllers[this.#asked++ % controllers.length]!;
    try {
      const request = encodeRendezvousRequest({ task: taskName, attempt });
      const { status, body } = await this.#http(controller, 'POST', RENDEZVOUS_PATH, request, REQUEST_MS);
      if (status === 200) {
        this.#group = decodeRendezvousAnswer(body);
        this.#servesUntil = Math.max(this.#servesUntil, sentAt + this.#group.serveMs);
      } else if (status === OTHER_GENERATION) {
        this.#servesUntil = -Infinity;
      }
    } catch {
      // Another controller is asked; until one answers, the lease runs.
    }
  }

  #serves(): boolean {
    return this.#group !== null && (performance.now() < this.#servesUntil || !this.options.keepsLease);
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://member');
    if (!this.#serves()) return answer(response, NOT_SERVING, null);
    if (url.pathname === PARTIAL_PATH)
      return this.#answerPartially(Number(url.searchParams.get('generation')), response);
    if (this.#group!.rank !== 0) return answer(response, NOT_THE_HEAD, null);
    return this.#answerClient(this.#group!, response);
  }

  #answerPartially(generation: number, response: ServerResponse): void {
    const group = this.#group!;
    if (this.options.checksGeneration && generation !== group.generation)
      return answer(response, OTHER_GENERATION, null);
    answer(response, 200, { rank: group.rank, generation: group.generation, attempt: this.options.attempt });
  }

  /** Answers only once every member has contributed, and while it may serve itself. */
  async #answerClient(
    { generation, worldSize, members, rank }: RendezvousAnswer,
    response: ServerResponse,
  ): Promise<void> {
    const own: PartialAnswer = { rank, generation, attempt: this.options.attempt };
    const others = members.filter((_, other) => other !== rank);
    const partials = [own, ...(await Promise.all(others.map((host) => this.#partialOf(host, generation))))];
    const isOfOne = partials.every((partial) => partial.generation === generation);
    if (this.options.checksGeneration && !isOfOne) return answer(response, OTHER_GENERATION, null);
    if (!this.#serves()) return answer(response, NOT_SERVING, null);
    answer(response, 200, { generation, worldSize, partials } satisfies GroupAnswer);
  }

  async #partialOf(host: string, generation: number): Promise<PartialAnswer> {
    const path = `${PARTIAL_PATH}?generation=${generation}`;
    const { status, body } = await this.#http(`${host}:${this.options.port}`, 'GET', path, null, REQUEST_MS);
    if (status !== 200) throw new Error(`member refuses: ${status}`);
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

/** Runs a member until it is killed, or until the process that started it is gone. */
export function runMember(options: MemberOptions): void {
  process.stdin.on('end', () => process.exit()).resume();
  void new Member(options).run();
}
