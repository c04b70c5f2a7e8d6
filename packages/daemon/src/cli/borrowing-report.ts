// What operators are shown of borrowing: accounts and reclaims, read from the lines that controllers write to their logs.
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';

/** How one team stood when the leader last said so. */
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

export interface ReclaimLine {
  readonly reclaim: string;
  readonly state: string;
  readonly job: string;
  readonly machine: string;
  readonly tasks: number;
  readonly reason: string;
  /** Why it was withdrawn; empty: it was not. */
  readonly why: string;
}

/** Why a job got nothing of others. */
export interface RefusalLine {
  readonly team: string;
  readonly job: string;
  readonly tasks: number;
  readonly why: string;
}

export interface BorrowingReport {
  /** Time of day (ms) of the newest line; null: none has one. */
  readonly asOf: number | null;
  readonly accounts: readonly AccountLine[];
  readonly reclaims: readonly ReclaimLine[];
  readonly refusals: readonly RefusalLine[];
}

type Fields = Readonly<Record<string, unknown>>;

const RECLAIM = 'reclaim ';

function textOf(fields: Fields, name: string): string {
  const value = fields[name];
  return typeof value === 'string' ? value : '';
}

function numberOf(fields: Fields, name: string): number {
  const value = fields[name];
  return typeof value === 'number' ? value : 0;
}

/** Null: the line is none that a controller writes. */
function parseLine(line: string): Fields | null {
  try {
    const value: unknown = JSON.parse(line);
    return typeof value === 'object' && value !== null && !Array.isArray(value) ? (value as Fields) : null;
  } catch {
    return null;
  }
}

/** Collects lines of the logs of any controllers, in the order of their times. */
export class BorrowingReader {
  #asOf: number | null = null;
  readonly #accounts = new Map<string, { readonly line: AccountLine; readonly time: number }>();
  readonly #reclaims = new Map<string, { readonly line: ReclaimLine; readonly time: number }>();
  readonly #refusals = new Map<string, { readonly line: RefusalLine; readonly time: number }>();

  add(text: string): void {
    const fields = parseLine(text);
    if (fields === null) return;
    const message = textOf(fields, 'msg');
    const time = numberOf(fields, 'time');
    if (message === 'team account') this.#addAccount(fields, time);
    else if (message === 'nothing reclaimed') this.#addRefusal(fields, time);
    else if (message.startsWith(RECLAIM)) this.#addReclaim(fields, message.slice(RECLAIM.length), time);
    else return;
    this.#asOf = Math.max(this.#asOf ?? 0, time);
  }

  #addAccount(fields: Fields, time: number): void {
    const team = textOf(fields, 'team');
    if (time < (this.#accounts.get(team)?.time ?? 0)) return;
    const figures = ['guarantee', 'limit', 'runs', 'mayRun', 'waits', 'borrowed', 'lent'] as const;
    const line = { team, ...Object.fromEntries(figures.map((name) => [name, numberOf(fields, name)])) } as AccountLine;
    this.#accounts.set(team, { line, time });
  }

  #addRefusal(fields: Fields, time: number): void {
    const job = textOf(fields, 'job');
    if (time < (this.#refusals.get(job)?.time ?? 0)) return;
    const line = { team: textOf(fields, 'team'), job, tasks: numberOf(fields, 'tasks'), why: textOf(fields, 'why') };
    this.#refusals.set(job, { line, time });
  }

  #addReclaim(fields: Fields, state: string, time: number): void {
    const reclaim = textOf(fields, 'reclaim');
    const known = this.#reclaims.get(reclaim);
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
    this.#reclaims.set(reclaim, { line, time });
  }

  report(team: string | null = null): BorrowingReport {
    const isAsked = (entry: { readonly team: string }): boolean => team === null || entry.team === team;
    return {
      asOf: this.#asOf,
      accounts: [...this.#accounts.values()].map(({ line }) => line).filter(isAsked),
      reclaims: [...this.#reclaims.values()].map(({ line }) => line),
      refusals: [...this.#refusals.values()].map(({ line }) => line).filter(isAsked),
    };
  }
}

export async function readBorrowing(input: Readable): Promise<BorrowingReader> {
  const reader = new BorrowingReader();
  for await (const line of createInterface({ input, crlfDelay: Infinity })) reader.add(line);
  return reader;
}

/** Columns that are as wide as their widest cell. */
function table(header: readonly string[], rows: readonly (readonly (string | number)[])[]): string {
  const cells = [header, ...rows].map((row) => row.map(String));
  const widths = header.map((_, column) => Math.max(...cells.map((row) => row[column]!.length)));
  return cells
    .map((row) =>
      row
        .map((cell, i) => cell.padEnd(widths[i]!))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

export function formatBorrowing({ asOf, accounts, reclaims, refusals }: BorrowingReport): string {
  const parts = [`as of ${asOf === null ? 'an unknown time' : new Date(asOf).toISOString()}, in GPUs`];
  const header = ['team', 'guarantee', 'limit', 'runs', 'may run', 'waits', 'borrowed', 'lent'];
  const figures = accounts.map((a) => [a.team, a.guarantee, a.limit, a.runs, a.mayRun, a.waits, a.borrowed, a.lent]);
  parts.push(table(header, figures));
  if (reclaims.length > 0) {
    const rows = reclaims.map((r) => [r.reclaim, r.state, r.job, r.machine, r.tasks, r.reason, r.why]);
    parts.push(table(['reclaim', 'state', 'job', 'machine', 'tasks', 'reason', 'why'], rows));
  }
  if (refusals.length > 0) {
    const rows = refusals.map((r) => [r.team, r.job, r.tasks, r.why]);
    parts.push(table(['team', 'job', 'tasks', 'why nothing was reclaimed'], rows));
  }
  return `${parts.join('\n\n')}\n`;
}
