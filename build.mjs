// Bundles the daemon into one file under target/. A controller runs on a small share of one CPU core, where it starts
// several times faster from a single file than by resolving a tree of modules. With --tests, this script bundles the
// tests instead; with --fingerprint, it bundles the tool that shows whether behaviour has changed; with --fuzz, the one that
// feeds malformed messages to the decoders.
import { readdirSync, readFileSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { build } from 'esbuild';

const commonOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  logLevel: 'warning',
  sourcemap: false,
  // The entry point of msgpackr that is JavaScript only. The default one tries to load a native string extractor, whose
  // gain does not justify loading it.
  alias: { msgpackr: './node_modules/msgpackr/index.js' },
};

/** The mutant of --mutant NAME, a source whose bound is taken out; null: there is none. */
const mutantName = process.argv.includes('--mutant') ? process.argv[process.argv.indexOf('--mutant') + 1] : null;

function mutantPlugin(name) {
  const { file, bound, without } = JSON.parse(readFileSync('packages/testkit/fuzz/mutants.json', 'utf8'))[name];
  const setup = ({ onLoad }) =>
    onLoad({ filter: new RegExp(`${file.replaceAll('.', '\\.')}$`) }, ({ path }) => {
      const source = readFileSync(path, 'utf8');
      if (!source.includes(bound)) throw new Error(`${file} has no: ${bound}`);
      return { contents: source.replace(bound, () => without), loader: 'ts' };
    });
  return { name, setup };
}

if (process.argv.includes('--tests')) {
  const entryPoints = readdirSync('packages').flatMap((packageName) => {
    const dir = join('packages', packageName, 'test');
    return readdirSync(dir, { withFileTypes: true })
      .filter((entry) => entry.name.endsWith('.test.ts'))
      .map((entry) => ({ in: join(dir, entry.name), out: `${packageName}-${entry.name.replace(/\.ts$/, '')}` }));
  });
  rmSync('target/test', { recursive: true, force: true });
  await build({ ...commonOptions, entryPoints, outdir: 'target/test', format: 'cjs', outExtension: { '.js': '.cjs' } });
} else if (process.argv.includes('--fuzz')) {
  await build({
    ...commonOptions,
    entryPoints: ['packages/testkit/fuzz/main.ts'],
    outfile: mutantName === null ? 'target/fuzz.cjs' : `target/fuzz-${mutantName}.cjs`,
    format: 'cjs',
    plugins: mutantName === null ? [] : [mutantPlugin(mutantName)],
  });
} else if (process.argv.includes('--fingerprint')) {
  await build({
    ...commonOptions,
    entryPoints: ['packages/testkit/fingerprint/main.ts'],
    outfile: 'target/fingerprint.cjs',
    format: 'cjs',
  });
} else {
  await build({
    ...commonOptions,
    entryPoints: ['packages/daemon/src/main.ts'],
    outfile: 'target/gingerlock.cjs',
    format: 'cjs',
    minify: true,
    keepNames: true,
    legalComments: 'none',
    banner: { js: '#!/usr/bin/env node' },
  });
}
