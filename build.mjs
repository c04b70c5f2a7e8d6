// Bundles the daemon into one file under target/. A controller runs on a small share of one CPU core, where it starts
// several times faster from a single file than by resolving a tree of modules. With --tests, this script bundles the
// tests instead; with --fingerprint, it bundles the tool that shows whether behaviour has changed.
import { readdirSync, rmSync } from 'node:fs';
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

if (process.argv.includes('--tests')) {
  const entryPoints = readdirSync('packages').flatMap((packageName) => {
    const dir = join('packages', packageName, 'test');
    return readdirSync(dir, { withFileTypes: true })
      .filter((entry) => entry.name.endsWith('.test.ts'))
      .map((entry) => ({ in: join(dir, entry.name), out: `${packageName}-${entry.name.replace(/\.ts$/, '')}` }));
  });
  rmSync('target/test', { recursive: true, force: true });
  await build({ ...commonOptions, entryPoints, outdir: 'target/test', format: 'cjs', outExtension: { '.js': '.cjs' } });
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
