// The subcommand `gingerlock borrowing`: shows what teams lend and borrow, according to the logs of controllers.
import { createReadStream } from 'node:fs';
import type { Readable } from 'node:stream';
import { errorMessage } from '@gingerlock/wire';
import { formatBorrowing, readBorrowing } from './borrowing-report';

/** Exit statuses. `refused`: there is nothing to show; `usage`: an option can't be used. */
export const EXIT = { done: 0, refused: 1, usage: 2 } as const;

/** Options of `gingerlock borrowing`. */
export interface BorrowingOptions {
  /** File with the logs; undefined means standard input. */
  readonly log?: string;
  /** Show only the account of this team. */
  readonly team?: string;
  /** Print one JSON object instead of tables. */
  readonly json?: boolean;
}

/** What a command prints, and its exit status. */
export interface CommandOutput {
  readonly status: (typeof EXIT)[keyof typeof EXIT];
  /** For standard output. */
  readonly out: string;
  /** For standard error; empty unless the command failed. */
  readonly error: string;
}

function failed(status: typeof EXIT.refused | typeof EXIT.usage, reason: string): CommandOutput {
  return { status, out: '', error: `gingerlock: ${reason}\n` };
}

/** Shows the accounts and reclaims in the logs. Never rejects: failures are part of the output. */
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
    return failed(EXIT.usage, `--log: ${errorMessage(error, 'can not be read')}`);
  }
}
