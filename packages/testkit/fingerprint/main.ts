// Runs the fixed scenarios and prints the fingerprint of each, to show that a refactoring changes no behaviour:
//   npm run fingerprint -- [--day NAME] [--dump FILE]
import { closeSync, openSync, writeSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { SCENARIOS } from './scenarios';
import { runRecorded } from './run-recorded';
import type { LineSink } from './recorder';

async function main(): Promise<number> {
  const { values } = parseArgs({ options: { day: { type: 'string' }, dump: { type: 'string' } } });
  const scenarios = SCENARIOS.filter(({ name }) => values.day === undefined || values.day === name);
  if (scenarios.length === 0) {
    process.stderr.write(
      `unknown scenario ${values.day}; known scenarios: ${SCENARIOS.map(({ name }) => name).join(', ')}\n`,
    );
    return 1;
  }
  const file = values.dump === undefined ? null : openSync(values.dump, 'w');
  const dump: LineSink = file === null ? () => undefined : (line) => writeSync(file, `${line}\n`);
  for (const scenario of scenarios) {
    dump(`day\t${scenario.name}`);
    const { traffic, records } = await runRecorded(scenario, dump);
    process.stdout.write(`${scenario.name} traffic=${traffic} records=${records}\n`);
  }
  if (file !== null) closeSync(file);
  return 0;
}

void main().then((code) => process.exit(code));
