// The rendezvous of replica groups: members ask a controller who belongs to the group now and how long they may serve.
import { Type } from '@sinclair/typebox';
import { compileValidator } from './validator';
import { decodeMap, encode, integer, MalformedMessageError } from './codec';
import { GROUP_STATES, type GroupState } from './group-record';
import { parseTaskName } from './workers';

/** The path of the request, on the listener for workers and users. */
export const RENDEZVOUS_PATH = '/rendezvous';

/** The request of a member: its task, and the attempt in which it was started. */
export interface RendezvousQuestion {
  readonly job: string;
  readonly rank: number;
  readonly attempt: number;
}

/** The group serves with this member, as one of `worldSize`. */
export interface RendezvousAnswer {
  readonly generation: number;
  readonly rank: number;
  readonly worldSize: number;
  /** The IP addresses of the members' machines, by rank. */
  readonly members: readonly string[];
  /** How long the member may serve, in milliseconds from when it sent the request. */
  readonly serveMs: number;
}

/** The group does not serve with this member; the state that it is in. */
export interface RendezvousRefusal {
  /** 0: there is no such group. */
  readonly generation: number;
  /** Null: there is no such group. */
  readonly state: GroupState | null;
}

const checkQuestion = compileValidator(Type.Object({ parcel: Type.String(), try: Type.Integer({ minimum: 0 }) }));

/** The body of a member's request. */
export function encodeRendezvousQuestion({
  task,
  attempt,
}: {
  readonly task: string;
  readonly attempt: number;
}): Buffer {
  return encode({ parcel: task, try: integer(attempt) });
}

/** Throws a `MalformedMessageError` if the body is no request. */
export function decodeRendezvousQuestion(body: Uint8Array): RendezvousQuestion {
  const question = checkQuestion(decodeMap(body));
  const task = parseTaskName(question.parcel);
  if (task === null) throw new MalformedMessageError('parcel', 'not a task');
  return { job: task.job, rank: task.index, attempt: question.try };
}

const checkAnswer = compileValidator(
  Type.Object({
    generation: Type.Integer({ minimum: 1 }),
    rank: Type.Integer({ minimum: 0 }),
    world_size: Type.Integer({ minimum: 1 }),
    members: Type.Array(Type.String()),
    serve_ms: Type.Number({ minimum: 0 }),
  }),
);

/** The body of the response to a member that may serve. */
export function encodeRendezvousAnswer(answer: RendezvousAnswer): Buffer {
  return encode({
    generation: integer(answer.generation),
    rank: answer.rank,
    world_size: answer.worldSize,
    members: [...answer.members],
    serve_ms: answer.serveMs,
  });
}

/** Throws a `MalformedMessageError` if the body is no answer. */
export function decodeRendezvousAnswer(body: Uint8Array): RendezvousAnswer {
  const { generation, rank, world_size: worldSize, members, serve_ms: serveMs } = checkAnswer(decodeMap(body));
  if (members.length !== worldSize || rank >= worldSize)
    throw new MalformedMessageError('world_size', 'not the number of members');
  return { generation, rank, worldSize, members, serveMs };
}

const checkRefusal = compileValidator(
  Type.Object({
    generation: Type.Integer({ minimum: 0 }),
    state: Type.Union([Type.Null(), ...GROUP_STATES.map((state) => Type.Literal(state))]),
  }),
);

/** The body of the response to a member that may not serve. */
export function encodeRendezvousRefusal({ generation, state }: RendezvousRefusal): Buffer {
  return encode({ generation: integer(generation), state });
}

/** Throws a `MalformedMessageError` if the body is no refusal. */
export function decodeRendezvousRefusal(body: Uint8Array): RendezvousRefusal {
  return checkRefusal(decodeMap(body)) as RendezvousRefusal;
}
