// The log of a controller: JSON lines on standard error.
import { pino } from 'pino';

/** Takes events with their fields. Messages are fixed texts that operators search for; what varies is in the fields. */
export interface Log {
  /** Something that this software should never meet: it needs a person. */
  error(detail: object, message: string): void;
  /** Something that on-call should find later: changes of ownership, failures of others. */
  info(detail: object, message: string): void;
  /** Every single request, transaction or task. */
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

/** Drops everything. */
export const SILENT: Log = { error: () => undefined, info: () => undefined, debug: () => undefined };
