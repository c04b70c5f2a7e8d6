// `gingerlock borrowing`: what it prints of a log, and how it ends.
import assert from 'node:assert/strict';
import { Readable } from 'node:stream';
import { test } from 'node:test';
import { runScenario, World } from '@gingerlock/testkit';
import { borrowingCommand, type CommandOutput } from '../src/cli/borrowing-command';
import type { BorrowingReport } from '../src/cli/borrowing-report';

function run(lines: readonly string[], options: Parameters<typeof borrowingCommand>[0] = {}): Promise<CommandOutput> {
  return borrowingCommand(options, Readable.from(lines.map((line) => `${line}\n`)));
}

/** The log of all controllers on a day with a surge. */
async function logOfADay(): Promise<string[]> {
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

test('accounts, reclaims and the reasons for none are shown as the daemon wrote them', async () => {
  const log = await logOfADay();
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

test('lines in another order than their times give the same', async () => {
  const log = await logOfADay();
  // Lines of one moment have no order of their own: only whole moments are turned round.
  const byTime = new Map<number, string[]>();
  for (const line of log) {
    const { time } = JSON.parse(line) as { time: number };
    byTime.set(time, [...(byTime.get(time) ?? []), line]);
  }
  const turned = [...byTime.values()].reverse().flat();
  const [straight, reversed] = [await run(log, { json: true }), await run(turned, { json: true })];
  const stateOf = ({ out }: CommandOutput): unknown => {
    const { reclaims, accounts } = JSON.parse(out) as BorrowingReport;
    const names = reclaims.map(({ reclaim, state }) => `${reclaim} ${state}`).sort();
    return [names, [...accounts].sort((a, b) => a.team.localeCompare(b.team))];
  };
  assert.deepEqual(stateOf(reversed), stateOf(straight));
});

test('a log without a line about borrowing, an unknown team and a file that is not there end with their status and one line', async () => {
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
