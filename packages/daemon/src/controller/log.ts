import { pino } from 'pino';

export interface Log {
  error(detail: object, message: string): void;
  info(detail: object, message: string): void;
  debug(detail: object, message: string): void;
}

const LEVELS = ['error', 'info', 'debug'];

/** Logs go to standard error, in the amount that LOG_LEVEL sets. */
export function openLog(node: string, level = process.env.LOG_LEVEL): Log {
  return pino(
    { level: level !== undefined && LEVELS.includes(level) ? level : 'info', base: { node } },
    pino.destination({ fd: 2, sync: true }),
  );
}

export const SILENT: Log = { error: () => undefined, info: () => undefined, debug: () => undefined };
