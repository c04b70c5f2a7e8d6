// The log of a controller: JSON lines on standard error.
import { pino } from 'pino';

/** Logs events. Messages are constant texts that operators search for; variable values are in the fields. */
export interface Log {
  /** For conditions that should never occur and that a person must look into. */
  error(detail: object, message: string): void;
  /** For events that on-call staff look up later: changes of ownership, failures of other systems. */
  info(detail: object, message: string): void;
  /** For single requests, transactions and tasks. */
  debug(detail: object, message: string): void;
}

const LEVELS: readonly string[] = ['error', 'info', 'debug'];

/** Opens the log of a controller. `level` is `error`, `info` or `debug`; anything else counts as `info`. */
export function openLog(node: string, level = process.env.LOG_LEVEL): Log {
  return pino(
    { level: level !== undefined && LEVELS.includes(level) ? level : 'info', base: { node } },
    pino.destination({ fd: 2, sync: true }),
  );
}

/** A log that drops all events. */
export const SILENT: Log = { error: () => undefined, info: () => undefined, debug: () => undefined };
