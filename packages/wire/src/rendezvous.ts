// The rendezvous API of replica groups: a member asks a controller for the current members of its group and how long it
// may serve.
import { Type } from '@sinclair/typebox';
import { compileValidator } from './validator';
import { decodeMap, encode, integer, MalformedMessageError } from './codec';
import { GROUP_STATES, type GroupState } from './group-record';
import { parseTaskName } from './workers';

/** URL path of the request, on the listener for workers and users. */
export const RENDEZVOUS_PATH = '/rendezvous';

/** The request of a member. It names the member's task and attempt. */
export interface RendezvousRequest {
  readonly job: string;
  readonly rank: number;
  readonly attempt: number;
}

/** The answer to a member that may serve, as one of `worldSize` members. */
export interface RendezvousAnswer {
  readonly generation: number;
  readonly rank: number;
  readonly worldSize: number;
  /** The IP addresses of the members' machines, by rank. */
  readonly members: readonly string[];
  /** How long the member may serve after it sent the request, in milliseconds. */
  readonly serveMs: number;
}

/** The answer to a member that may not serve. */
export interface RendezvousRefusal {
  /** 0 if there is no such group. */
  readonly generation: number;
  /** The state of the group; null if there is no such group. */
  readonly state: GroupState | null;
}

const checkRequest = compileValidator(Type.Object({ parcel: Type.String(), try: Type.Integer({ minimum: 0 }) }));

/** Encodes the body of a member's request. */
export function encodeRendezvousRequest({
  task,
  attempt,
}: {
  readonly task: string;
  readonly attempt: number;
}): Buffer {
  return encode({ parcel: task, try: integer(attempt) });
}

/** Decodes the body of a member's request. Throws a `MalformedMessageError` if it is invalid. */
export function decodeRendezvousRequest(body: Uint8Array): RendezvousRequest {
  const request = checkRequest(decodeMap(body));
  const task = parseTaskName(request.parcel);
  if (task === null) throw new MalformedMessageError('parcel', 'not a task');
  return { job: task.job, rank: task.index, attempt: request.try };
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

/** Encodes the response to a member that may serve. */
export function encodeRendezvousAnswer(answer: RendezvousAnswer): Buffer {
  return encode({
    generation: integer(answer.generation),
    rank: answer.rank,
    world_size: answer.worldSize,
    members: [...answer.members],
    serve_ms: answer.serveMs,
  });
}

/** Decodes the response to a member that may serve. Throws a `MalformedMessageError` if it is invalid. */
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

/** Encodes the response to a member that may not serve. */
export function encodeRendezvousRefusal({ generation, state }: RendezvousRefusal): Buffer {
  return encode({ generation: integer(generation), state });
}

/** Decodes the response to a member that may not serve. Throws a `MalformedMessageError` if it is invalid. */
export function decodeRendezvousRefusal(body: Uint8Array): RendezvousRefusal {
  return checkRefusal(decodeMap(body));
}
