// The subcommand `gingerlock borrowing`.
import { createReadStream } from 'node:fs';
import type { Readable } from 'node:stream';
import { formatBorrowing, readBorrowing } from './borrowing-report';

/** Exit statuses of commands that ask for something. */
export const EXIT = { done: 0, refused: 1, usage: 2 } as const;

export interface BorrowingOptions {
  /** File with the logs; undefined: standard input. */
  readonly log?: string;
  readonly team?: string;
  readonly json?: boolean;
}

export interface CommandOutput {
  readonly status: (typeof EXIT)[keyof typeof EXIT];
  readonly out: string;
  readonly error: string;
}

function failed(status: typeof EXIT.refused | typeof EXIT.usage, reason: string): CommandOutput {
  return { status, out: '', error: `gingerlock: ${reason}\n` };
}

/** Shows accounts and reclaims as the logs have them. */
export async function borrowingCommand(options: BorrowingOptions, standardInput: Readable): Promise<CommandOutput> {
  const { log, team, json } = options;
  const input = log === undefined ? standardInput : createReadStream(log);
  try {
    const reader = await readBorrowing(input);
    const report = reader.report(team ?? null);
    if (report.asOf === null) return failed(EXIT.refused, 'no line of the log is about borrowing: is it switched on?');
    if (team !== undefined && report.accounts.length === 0)
      return failed(EXIT.refused, `--team: no account of ${team}`);
    return {
      status: EXIT.done,
      out: json === true ? `${JSON.stringify(report)}\n` : formatBorrowing(report),
      error: '',
    };
  } catch (error) {
    return failed(EXIT.usage, `--log: ${error instanceof Error ? error.message : 'can not be read'}`);
  }
}
