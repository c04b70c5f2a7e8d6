// Plays the fixed days and prints a fingerprint of each, to show that a refactoring changes no behaviour:
//   npm run fingerprint -- [--day NAME] [--dump FILE]
import { closeSync, openSync, writeSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { DAYS } from './days';
import { playRecorded } from './play';
import type { LineSink } from './recorder';

async function main(): Promise<number> {
  const { values } = parseArgs({ options: { day: { type: 'string' }, dump: { type: 'string' } } });
  const days = DAYS.filter(({ name }) => values.day === undefined || values.day === name);
  if (days.length === 0) {
    process.stderr.write(`no day ${values.day}; there are: ${DAYS.map(({ name }) => name).join(', ')}\n`);
    return 1;
  }
  const file = values.dump === undefined ? null : openSync(values.dump, 'w');
  const dump: LineSink = file === null ? () => undefined : (line) => writeSync(file, `${line}\n`);
  for (const day of days) {
    dump(`day\t${day.name}`);
    const { traffic, records } = await playRecorded(day, dump);
    process.stdout.write(`${day.name} traffic=${traffic} records=${records}\n`);
  }
  if (file !== null) closeSync(file);
  return 0;
}

void main().then((code) => process.exit(code));
