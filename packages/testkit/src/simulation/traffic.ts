// Reports the messages of a simulated deployment to an observer, as bytes at the moment they leave or reach a process.

/** A message that leaves or reaches a process, or the failure of a request that got no answer. */
export interface TrafficEvent {
  readonly what:
    | 'request sent'
    | 'request received'
    | 'answer sent'
    | 'answer received'
    | 'no answer'
    | 'frame sent'
    | 'frame received';
  /** The sender of the request or frame. An answer keeps the `from` and `to` of its request. */
  readonly from: string;
  readonly to: string;
  /** Method and path of the request; empty for a frame. */
  readonly request: string;
  /** The status of an answer and, if it has one, the delay in seconds before a retry. */
  readonly status?: number;
  readonly retryAfterS?: number;
  readonly body?: Uint8Array | null;
}

/** Called with each event when it happens; it must not change the deployment. */
export type TrafficObserver = (event: TrafficEvent) => void;

/** A request that users and late duplicates pass to a controller directly, bypassing the simulated network. */
export interface DirectRequest {
  readonly from: string;
  readonly to: string;
  readonly request: string;
  readonly body: Uint8Array | null;
}

/** Runs a direct request, and reports it and its answer to the observer. */
export function observeDirect<
  A extends Pick<TrafficEvent, 'retryAfterS'> & Required<Pick<TrafficEvent, 'status' | 'body'>>,
>(observe: TrafficObserver, request: DirectRequest, run: () => Promise<A>): Promise<A> {
  observe({ what: 'request received', ...request });
  const answer = run();
  void answer.then(
    (given) => observe({ what: 'answer sent', ...request, ...given }),
    () => undefined,
  );
  return answer;
}
