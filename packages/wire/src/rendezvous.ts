// What members of replica groups ask controllers, and the answers: who belongs to the group now, and for how long a member may serve.
import { Type } from '@sinclair/typebox';
import { checker } from './check';
import { decodeMap, encode, integer, MalformedMessageError } from './codec';
import { GROUP_STATES, type GroupState } from './group-record';
import { parseTaskName } from './workers';

/** The path of the question on the listener for workers and users. */
export const RENDEZVOUS_PATH = '/rendezvous';

/** A member names its task and the attempt under which it was started. */
export interface RendezvousQuestion {
  readonly job: string;
  readonly rank: number;
  readonly attempt: number;
}

/** The group serves with this member. */
export interface RendezvousAnswer {
  readonly generation: number;
  readonly rank: number;
  readonly worldSize: number;
  /** The IP addresses of the members' machines, by rank. */
  readonly members: readonly string[];
  /** How long the member may serve, in milliseconds from when it sent the question. */
  readonly serveMs: number;
}

/** The group does not serve with this member; this is how it stands. */
export interface RendezvousRefusal {
  /** 0: there is no such group. */
  readonly generation: number;
  readonly state: GroupState | null;
}

const checkQuestion = checker(Type.Object({ parcel: Type.String(), try: Type.Integer({ minimum: 0 }) }));

export function encodeRendezvousQuestion({
  task: taskName,
  attempt,
}: {
  readonly task: string;
  readonly attempt: number;
}): Buffer {
  return encode({ parcel: taskName, try: integer(attempt) });
}

/** Throws `Malformed` if the body is no question. */
export function decodeRendezvousQuestion(body: Uint8Array): RendezvousQuestion {
  const question = checkQuestion(decodeMap(body));
  const task = parseTaskName(question.parcel);
  if (task === null) throw new MalformedMessageError('parcel', 'not a task');
  return { job: task.job, rank: task.index, attempt: question.try };
}

const checkAnswer = checker(
  Type.Object({
    generation: Type.Integer({ minimum: 1 }),
    rank: Type.Integer({ minimum: 0 }),
    world_size: Type.Integer({ minimum: 1 }),
    members: Type.Array(Type.String()),
    serve_ms: Type.Number({ minimum: 0 }),
  }),
);

export function encodeRendezvousAnswer(answer: RendezvousAnswer): Buffer {
  return encode({
    generation: integer(answer.generation),
    rank: answer.rank,
    world_size: answer.worldSize,
    members: [...answer.members],
    serve_ms: answer.serveMs,
  });
}

/** Throws `Malformed` if the body is no answer. */
export function decodeRendezvousAnswer(body: Uint8Array): RendezvousAnswer {
  const { generation, rank, world_size: worldSize, members, serve_ms: serveMs } = checkAnswer(decodeMap(body));
  if (members.length !== worldSize || rank >= worldSize)
    throw new MalformedMessageError('world_size', 'not the number of members');
  return { generation, rank, worldSize, members, serveMs };
}

const checkRefusal = checker(
  Type.Object({
    generation: Type.Integer({ minimum: 0 }),
    state: Type.Union([Type.Null(), ...GROUP_STATES.map((state) => Type.Literal(state))]),
  }),
);

export function encodeRendezvousRefusal({ generation, state }: RendezvousRefusal): Buffer {
  return encode({ generation: integer(generation), state });
}

/** Throws `Malformed` if the body is no refusal. */
export function decodeRendezvousRefusal(body: Uint8Array): RendezvousRefusal {
  return checkRefusal(decodeMap(body)) as RendezvousRefusal;
}
