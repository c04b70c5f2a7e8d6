// Seeded malformed messages for every decoder of bytes from outside, in processes with the heap of a controller, and mutants
// of the decoders without one of their bounds, each of which has to be found.
import assert from 'node:assert/strict';
import { execFileSync, spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { before, test } from 'node:test';
import { deployCommand } from '../src/index';

const SEED = process.env.GINGERLOCK_SEED ?? '1';

/** Messages for each decoder. */
const MESSAGES = '800';

/** How long a process may take, in milliseconds. */
const TIMEOUT_MS = 300_000;

/** A source whose bound is taken out, and the decoder that is affected. */
interface Mutant {
  readonly decoder: string;
}

const mutants = JSON.parse(readFileSync('packages/testkit/fuzz/mutants.json', 'utf8')) as Record<string, Mutant>;

/** Runs the fuzzing with the flags of the deploy command. Returns its exit code and the end of what it printed. */
function fuzz(bundle: string, ...more: string[]): { readonly status: number | null; readonly output: string } {
  const flags = deployCommand().filter((word) => word.startsWith('--') && word !== '--config');
  const { status, stdout, stderr } = spawnSync(process.execPath, [...flags, bundle, SEED, MESSAGES, ...more], {
    encoding: 'utf8',
    timeout: TIMEOUT_MS,
  });
  return { status, output: (stdout + stderr).slice(-16_000) };
}

before(() => execFileSync(process.execPath, ['build.mjs', '--fuzz']));

test('no malformed message ends a decoder or takes more memory than its bytes allow', () => {
  const { status, output } = fuzz('target/fuzz.cjs');
  assert.equal(status, 0, output);
});

for (const [name, { decoder }] of Object.entries(mutants)) {
  test(`malformed messages find the mutant ${name}`, () => {
    execFileSync(process.execPath, ['build.mjs', '--fuzz', '--mutant', name]);
    const { status, output } = fuzz(`target/fuzz-${name}.cjs`, decoder);
    assert.notEqual(status, 0, output);
    assert.match(output, /^fault: |heap out of memory/m);
  });
}
