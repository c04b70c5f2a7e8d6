// Dispatches each message from another controller to the handler of its kind.
import type { PeerMessage, PeerMessages } from '@gingerlock/peer';
import type { PeerFailureDetector } from '../peers/peer-failure-detector';
import type { ControllerContext } from './controller-context';

/** Handles one kind of message. `from`: the sending controller; `now`: the time of arrival by the steady clock. */
export type PeerMessageHandler<Kind extends PeerMessage['kind']> = (
  from: string,
  message: PeerMessages[Kind],
  now: number,
) => void;

/** One handler for every kind of message between controllers. */
export type PeerMessageHandlers = { readonly [Kind in PeerMessage['kind']]: PeerMessageHandler<Kind> };

/** Dispatches peer messages. Every message also counts as a heartbeat of its sender; errors of handlers are logged. */
export class PeerDispatcher {
  constructor(
    readonly handlers: PeerMessageHandlers,
    readonly peerFailureDetector: PeerFailureDetector,
    readonly context: Pick<ControllerContext, 'clock' | 'log' | 'workTimer'>,
  ) {}

  /** Dispatches one message. Never throws, so an error in a handler does not affect the link. */
  dispatch(from: string, message: PeerMessage): void {
    const { clock, log, workTimer } = this.context;
    try {
      const now = clock.now();
      this.peerFailureDetector.recordHeartbeat(from, now);
      workTimer.run('peer message', () => this.#handle(message.kind, from, message, now));
    } catch (error) {
      log.error({ from, kind: message.kind, error: String(error) }, 'peer message failed');
    }
  }

  #handle<Kind extends PeerMessage['kind']>(kind: Kind, from: string, message: PeerMessage, now: number): void {
    // The cast is safe since `kind` is `message.kind`; the compiler can't infer that through the handler table.
    this.handlers[kind](from, message as PeerMessage & PeerMessages[Kind], now);
  }
}
