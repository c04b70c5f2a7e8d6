// Logs messages that were refused, so that a flood of them does not become a flood of lines.
import type { Clock } from '@gingerlock/clients';
import type { Log } from './log';

/** A message that was refused. */
export interface RefusedMessage {
  /** The path of a request or answer, or the listener for peers. */
  readonly path: string;
  /** The address or name of the sender. */
  readonly from: string;
  /** Its size in bytes; null if it is not known. */
  readonly bytes: number | null;
  /** Why it was refused. */
  readonly reason: string;
}

/** At most this many lines are logged for one path within `INTERVAL_MS`. */
const MAX_LINES = 10;

const INTERVAL_MS = 10_000;

/** The lines of one path. */
interface PathLines {
  since: number;
  lines: number;
  /** Messages since the last line that got none. */
  omitted: number;
}

/** Logs refused messages, a bounded number for each path. Paths are those that the controller knows, so they are few. */
export class RefusalLog {
  readonly #linesByPath = new Map<string, PathLines>();

  constructor(
    readonly log: Log,
    readonly clock: Pick<Clock, 'now'>,
  ) {}

  /** Logs a message that is not what it should be, or counts it for the next line of its path. */
  malformed(message: RefusedMessage): void {
    const earlier = this.#mayLog(message.path);
    if (earlier !== null) this.log.info({ ...message, ...earlier }, 'malformed message');
  }

  /** Logs a request that is larger than the limit; otherwise like `malformed`. */
  tooLarge({ path, from, bytes }: RefusedMessage): void {
    const earlier = this.#mayLog(path);
    if (earlier !== null) this.log.info({ path, bytes, from, ...earlier }, 'request too large');
  }

  /**
   * Returns how many messages of the path got no line since its last one, if any, as a field of the next line; null if
   * this message gets none either.
   */
  #mayLog(path: string): { readonly omitted?: number } | null {
    const now = this.clock.now();
    let lines = this.#linesByPath.get(path);
    if (lines === undefined) {
      lines = { since: now, lines: 0, omitted: 0 };
      this.#linesByPath.set(path, lines);
    }
    if (now - lines.since >= INTERVAL_MS) {
      lines.since = now;
      lines.lines = 0;
    }
    if (lines.lines === MAX_LINES) {
      lines.omitted++;
      return null;
    }
    lines.lines++;
    const { omitted } = lines;
    lines.omitted = 0;
    return omitted === 0 ? {} : { omitted };
  }
}
