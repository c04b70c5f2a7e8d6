// What an observer gets of the messages of a simulated deployment, as bytes at the moment they leave or reach a
// process.

/** A message as it crosses the edge of a process, or the end of the wait for one that did not come. */
export interface TrafficEvent {
  readonly what:
    | 'request sent'
    | 'request received'
    | 'answer sent'
    | 'answer received'
    | 'no answer'
    | 'frame sent'
    | 'frame received';
  /** The sender of the request or of the frame; an answer to it goes the other way. */
  readonly from: string;
  readonly to: string;
  /** Method and path of the request; empty: it is a frame. */
  readonly request: string;
  /** Of an answer: its status, and after how many seconds to ask again if it says so. */
  readonly status?: number;
  readonly retryAfterS?: number;
  readonly body?: Uint8Array | null;
}

/** Is called with each event as it happens; it must change nothing. */
export type TrafficObserver = (event: TrafficEvent) => void;

/** A request that is put to a controller in its own process, as users and late copies do, not over the network. */
export interface DirectRequest {
  readonly from: string;
  readonly to: string;
  readonly request: string;
  readonly body: Uint8Array | null;
}

/** Runs a direct request; the observer gets it and its answer. */
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
