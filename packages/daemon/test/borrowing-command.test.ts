// The output and the exit status of `gingerlock borrowing`.
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { Readable } from 'node:stream';
import { test } from 'node:test';
import { runScenario, World } from '@gingerlock/testkit';
import { borrowingCommand, type CommandOutput } from '../src/cli/borrowing-command';
import type { BorrowingReport } from '../src/cli/borrowing-report';

function run(lines: readonly string[], options: Parameters<typeof borrowingCommand>[0] = {}): Promise<CommandOutput> {
  return borrowingCommand(options, Readable.from(lines.map((line) => `${line}\n`)));
}

/** Runs a simulation with a surge and returns the log of all controllers. */
async function logOfSurge(): Promise<string[]> {
  const lines: string[] = [];
  let clock = (): number => 0;
  const write = (detail: object, msg: string): void => {
    lines.push(JSON.stringify({ time: Math.round(clock()), ...detail, msg }));
  };
  const world = new World({
    seed: 1,
    machines: 6,
    capacity: 2,
    load: 0.2,
    gpusMax: 40,
    guaranteedGpus: 8,
    features: { borrowing: { enabled: true, max_share: 0.5 } },
    log: { error: write, info: write, debug: () => undefined },
  });
  clock = () => world.sim.now;
  await runScenario(world, {
    seed: 1,
    forMs: 45_000,
    faults: [
      { at: 5000, fault: { kind: 'batch wave', team: 1, tasks: 60, estimateS: 40 } },
      { at: 22_000, fault: { kind: 'surge', team: 0, replicas: 12, everyMs: 300, forMs: 15_000 } },
    ],
  });
  return lines;
}

test('the command shows accounts, reclaims and refusals as the controllers logged them', async () => {
  const log = await logOfSurge();
  const { status, out, error } = await run(['not JSON', '[1]', ...log]);
  assert.deepEqual([status, error], [0, '']);
  assert.match(
    out,
    /^as of 1970-01-01T00:00:\d\d\.\d{3}Z, in GPUs\n\nteam +guarantee +limit +runs +may run +waits +borrowed +lent\n/,
  );
  assert.match(out, /\nred +8 +40 /);
  assert.match(
    out,
    /\nreclaim +state +job +machine +tasks +reason +why\ng\/b\/\d+\/\d+-1 +granted +j-\d{6} +m-\d{6} +\d+ +(priority|guarantee)\n/,
  );

  const json = await run(log, { json: true, team: 'red' });
  const report = JSON.parse(json.out) as BorrowingReport;
  assert.deepEqual(
    report.accounts.map(({ team, guarantee, limit }) => [team, guarantee, limit]),
    [['red', 8, 40]],
  );
  assert.ok(report.reclaims.length > 0);
  assert.ok(report.refusals.every(({ team }) => team === 'red'));
});

test('the order of the log lines does not change the result', async () => {
  const log = await logOfSurge();
  // Lines with equal times keep their order, since the later one counts. Only groups of equal times are reversed.
  const byTime = new Map<number, string[]>();
  for (const line of log) {
    const { time } = JSON.parse(line) as { time: number };
    byTime.set(time, [...(byTime.get(time) ?? []), line]);
  }
  const reversedLog = [...byTime.values()].reverse().flat();
  const [inOrder, reversed] = [await run(log, { json: true }), await run(reversedLog, { json: true })];
  const stateOf = ({ out }: CommandOutput): unknown => {
    const { reclaims, accounts } = JSON.parse(out) as BorrowingReport;
    const names = reclaims.map(({ reclaim, state }) => `${reclaim} ${state}`).sort();
    return [names, [...accounts].sort((a, b) => a.team.localeCompare(b.team))];
  };
  assert.deepEqual(stateOf(reversed), stateOf(inOrder));
});

/** Log of a controller of version 6c8b998 in such a simulation, and the output of that version's command for it. */
const RECORDED_LOG = 'packages/daemon/test/borrowing-log-of-6c8b998.jsonl';
const RECORDED_OUTPUT = 'packages/daemon/test/borrowing-log-of-6c8b998.expected.txt';

test('a log written by version 6c8b998 gives byte for byte the output of that version', async () => {
  const lines = readFileSync(RECORDED_LOG, 'utf8').trimEnd().split('\n');
  const expected = readFileSync(RECORDED_OUTPUT, 'utf8');
  assert.deepEqual(await run(lines), { status: 0, out: expected, error: '' });
  assert.deepEqual(await run([], { log: RECORDED_LOG }), { status: 0, out: expected, error: '' });

  // Lines of that version about withdrawn reclaims have the reason.
  const [reclaim, job, machine] = ['g/b/1/3-5', 'j-000007', 'm-000005'];
  const detail = { reclaim, job, machine, tasks: 1, reason: 'priority', why: 'its room was taken' };
  const withdrawn = { level: 30, time: 1764700023300, node: 'stall-0', ...detail, msg: 'reclaim withdrawn' };
  const { out } = await run([...lines, JSON.stringify(withdrawn)], { json: true });
  assert.deepEqual((JSON.parse(out) as BorrowingReport).reclaims.at(-1), { ...detail, state: 'withdrawn' });
});

test('a log without borrowing, an unknown team and a missing file give a status and a one-line error', async () => {
  const account = JSON.stringify({ time: 5, msg: 'team account', team: 'red', guarantee: 4 });
  const cases: [Promise<CommandOutput>, number, RegExp][] = [
    [run(['{"msg":"serving"}']), 1, /^gingerlock: no line of the log is about borrowing.*\n$/],
    [run([account], { team: 'blue' }), 1, /^gingerlock: --team: no account of blue\n$/],
    [run([], { log: '/no/such/file' }), 2, /^gingerlock: --log: .*\/no\/such\/file.*\n$/],
  ];
  for (const [ran, status, error] of cases) {
    const output = await ran;
    assert.equal(output.status, status);
    assert.equal(output.out, '');
    assert.match(output.error, error);
  }
});
