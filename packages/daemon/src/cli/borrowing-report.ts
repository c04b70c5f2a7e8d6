// Reports accounts and reclaims of borrowing from the logs of controllers. `LeaderBorrowing` and `OwnerReclaims` write
// the messages and fields that are read here; they are the same in the logs of all versions.
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';

/** The latest account of a team that the leader logged, in GPUs; see `TeamAccount`. */
export interface AccountLine {
  readonly team: string;
  readonly guarantee: number;
  readonly limit: number;
  readonly runs: number;
  readonly mayRun: number;
  readonly waits: number;
  readonly borrowed: number;
  readonly lent: number;
}

/** The latest state of a reclaim. */
export interface ReclaimLine {
  /** Key of its record in the key-value store. */
  readonly reclaim: string;
  /** A `ReclaimState`. */
  readonly state: string;
  readonly job: string;
  readonly machine: string;
  /** How many tasks get the reclaimed capacity. */
  readonly tasks: number;
  /** A `ReclaimReason`. */
  readonly reason: string;
  /** Why the reclaim was withdrawn; empty if it was not. */
  readonly why: string;
}

/** The latest reason that the leader logged for reclaiming nothing for a job. */
export interface RefusalLine {
  readonly team: string;
  readonly job: string;
  readonly tasks: number;
  readonly why: string;
}

/** The content of the logs about borrowing. */
export interface BorrowingReport {
  /** Time of day (ms) of the newest line about borrowing; null if there is no such line. */
  readonly asOf: number | null;
  readonly accounts: readonly AccountLine[];
  readonly reclaims: readonly ReclaimLine[];
  readonly refusals: readonly RefusalLine[];
}

/** A line, and the time of day (ms) at which it was written. */
interface Timed<L> {
  readonly line: L;
  readonly time: number;
}

type Fields = Readonly<Record<string, unknown>>;

/** Messages about reclaims consist of this prefix and the state. */
const RECLAIM_PREFIX = 'reclaim ';

/** Fields of `AccountLine` besides the team; the log uses the same names. */
const ACCOUNT_FIGURES = ['guarantee', 'limit', 'runs', 'mayRun', 'waits', 'borrowed', 'lent'] as const;

function textOf(fields: Fields, name: string): string {
  const value = fields[name];
  return typeof value === 'string' ? value : '';
}

function numberOf(fields: Fields, name: string): number {
  const value = fields[name];
  return typeof value === 'number' ? value : 0;
}

/** Returns the fields of a log line, or null if the line is not a JSON object. */
function parseLine(line: string): Fields | null {
  try {
    const value: unknown = JSON.parse(line);
    return typeof value === 'object' && value !== null && !Array.isArray(value) ? (value as Fields) : null;
  } catch {
    return null;
  }
}

/**
 * Collects log lines of any controllers, in any order. Only the latest line of each team, job and reclaim counts.
 */
export class BorrowingReader {
  #asOf: number | null = null;
  readonly #accountByTeam = new Map<string, Timed<AccountLine>>();
  readonly #reclaimById = new Map<string, Timed<ReclaimLine>>();
  readonly #refusalByJob = new Map<string, Timed<RefusalLine>>();

  /** Adds one log line; skips lines that aren't about borrowing. */
  add(text: string): void {
    const fields = parseLine(text);
    if (fields === null) return;
    const message = textOf(fields, 'msg');
    const time = numberOf(fields, 'time');
    if (message === 'team account') this.#addAccount(fields, time);
    else if (message === 'nothing reclaimed') this.#addRefusal(fields, time);
    else if (message.startsWith(RECLAIM_PREFIX)) this.#addReclaim(fields, message.slice(RECLAIM_PREFIX.length), time);
    else return;
    this.#asOf = Math.max(this.#asOf ?? 0, time);
  }

  #addAccount(fields: Fields, time: number): void {
    const team = textOf(fields, 'team');
    if (time < (this.#accountByTeam.get(team)?.time ?? 0)) return;
    const figures = Object.fromEntries(ACCOUNT_FIGURES.map((name) => [name, numberOf(fields, name)]));
    const line = { team, ...figures } as AccountLine;
    this.#accountByTeam.set(team, { line, time });
  }

  #addRefusal(fields: Fields, time: number): void {
    const job = textOf(fields, 'job');
    if (time < (this.#refusalByJob.get(job)?.time ?? 0)) return;
    const line = { team: textOf(fields, 'team'), job, tasks: numberOf(fields, 'tasks'), why: textOf(fields, 'why') };
    this.#refusalByJob.set(job, { line, time });
  }

  #addReclaim(fields: Fields, state: string, time: number): void {
    const reclaim = textOf(fields, 'reclaim');
    const known = this.#reclaimById.get(reclaim);
    if (known !== undefined && time < known.time) return;
    const line: ReclaimLine = {
      reclaim,
      state,
      job: textOf(fields, 'job') || (known?.line.job ?? ''),
      machine: textOf(fields, 'machine') || (known?.line.machine ?? ''),
      tasks: numberOf(fields, 'tasks') || (known?.line.tasks ?? 0),
      reason: textOf(fields, 'reason') || (known?.line.reason ?? ''),
      why: textOf(fields, 'why'),
    };
    this.#reclaimById.set(reclaim, { line, time });
  }

  /** Returns the report of all lines so far. With a team, it has accounts and refusals of that team only. */
  report(team: string | null = null): BorrowingReport {
    const isOfTeam = (entry: { readonly team: string }): boolean => team === null || entry.team === team;
    return {
      asOf: this.#asOf,
      accounts: [...this.#accountByTeam.values()].map(({ line }) => line).filter(isOfTeam),
      reclaims: [...this.#reclaimById.values()].map(({ line }) => line),
      refusals: [...this.#refusalByJob.values()].map(({ line }) => line).filter(isOfTeam),
    };
  }
}

/** Reads a whole log. Rejects if the input can't be read. */
export async function readBorrowing(input: Readable): Promise<BorrowingReader> {
  const reader = new BorrowingReader();
  for await (const line of createInterface({ input, crlfDelay: Infinity })) reader.add(line);
  return reader;
}

/** Formats a table whose columns are as wide as their widest cell. */
function table(header: readonly string[], rows: readonly (readonly (string | number)[])[]): string {
  const cells = [header, ...rows].map((row) => row.map(String));
  const widths = header.map((_, column) => Math.max(...cells.map((row) => row[column]!.length)));
  return cells
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column]!))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** Formats the report as tables for a terminal. */
export function formatBorrowing({ asOf, accounts, reclaims, refusals }: BorrowingReport): string {
  const sections = [`as of ${asOf === null ? 'an unknown time' : new Date(asOf).toISOString()}, in GPUs`];
  const header = ['team', 'guarantee', 'limit', 'runs', 'may run', 'waits', 'borrowed', 'lent'];
  const figures = accounts.map((account) => [account.team, ...ACCOUNT_FIGURES.map((name) => account[name])]);
  sections.push(table(header, figures));
  if (reclaims.length > 0) {
    const rows = reclaims.map(({ reclaim, state, job, machine, tasks, reason, why }) => [
      reclaim,
      state,
      job,
      machine,
      tasks,
      reason,
      why,
    ]);
    sections.push(table(['reclaim', 'state', 'job', 'machine', 'tasks', 'reason', 'why'], rows));
  }
  if (refusals.length > 0) {
    const rows = refusals.map(({ team, job, tasks, why }) => [team, job, tasks, why]);
    sections.push(table(['team', 'job', 'tasks', 'why nothing was reclaimed'], rows));
  }
  return `${sections.join('\n\n')}\n`;
}
