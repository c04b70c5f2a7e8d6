// What operators are shown of borrowing: accounts and reclaims, read from the lines that controllers write to their
// logs. The messages and fields read here are written by `LeaderBorrowing` and `OwnerReclaims`; logs of all versions
// have the same ones.
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';

/** The latest account of a team, in GPUs, as the leader logged it; see `TeamAccount`. */
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
  /** How many tasks get its capacity. */
  readonly tasks: number;
  /** A `ReclaimReason`. */
  readonly reason: string;
  /** Why it was withdrawn; empty: it was not. */
  readonly why: string;
}

/** Why nothing was reclaimed for a job, as the leader logged it last. */
export interface RefusalLine {
  readonly team: string;
  readonly job: string;
  readonly tasks: number;
  readonly why: string;
}

/** Everything that the logs say about borrowing. */
export interface BorrowingReport {
  /** Time of day (ms) of the newest line about borrowing; null: there is no such line. */
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

/** Messages about reclaims have the state after this. */
const RECLAIM_PREFIX = 'reclaim ';

/** What `AccountLine` has besides the team, under the names that the log uses. */
const ACCOUNT_FIGURES = ['guarantee', 'limit', 'runs', 'mayRun', 'waits', 'borrowed', 'lent'] as const;

function textOf(fields: Fields, name: string): string {
  const value = fields[name];
  return typeof value === 'string' ? value : '';
}

function numberOf(fields: Fields, name: string): number {
  const value = fields[name];
  return typeof value === 'number' ? value : 0;
}

/** The fields of a line of a log; null: the line is none that a controller writes. */
function parseLine(line: string): Fields | null {
  try {
    const value: unknown = JSON.parse(line);
    return typeof value === 'object' && value !== null && !Array.isArray(value) ? (value as Fields) : null;
  } catch {
    return null;
  }
}

/**
 * Collects lines of the logs of any controllers, in any order: of each team, job and reclaim the latest line counts.
 */
export class BorrowingReader {
  #asOf: number | null = null;
  readonly #accountByTeam = new Map<string, Timed<AccountLine>>();
  readonly #reclaimById = new Map<string, Timed<ReclaimLine>>();
  readonly #refusalByJob = new Map<string, Timed<RefusalLine>>();

  /** Takes one line of a log; lines that aren't about borrowing are skipped. */
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

  /** What the lines so far say; with a team, accounts and refusals of that team alone. */
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

/** A table whose columns are as wide as their widest cell. */
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

/** The report as tables, for a terminal. */
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
