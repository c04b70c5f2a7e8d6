// Bundles the daemon into one file under target/: a controller has a small share of one core, and reading a single
// file starts it several times faster than resolving a tree of modules. With --tests it bundles the tests instead, and with
// --fingerprint the tool that shows whether behaviour has changed.
import { readdirSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { build } from 'esbuild';

const common = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  logLevel: 'warning',
  sourcemap: false,
  // msgpackr's plain entry points: the native string extractor it would otherwise probe for is not worth a load.
  alias: { msgpackr: './node_modules/msgpackr/index.js' },
};

if (process.argv.includes('--tests')) {
  const entryPoints = readdirSync('packages').flatMap((name) => {
    const dir = join('packages', name, 'test');
    return readdirSync(dir, { withFileTypes: true })
      .filter((entry) => entry.name.endsWith('.test.ts'))
      .map((entry) => ({ in: join(dir, entry.name), out: `${name}-${entry.name.replace(/\.ts$/, '')}` }));
  });
  rmSync('target/test', { recursive: true, force: true });
  await build({ ...common, entryPoints, outdir: 'target/test', format: 'cjs', outExtension: { '.js': '.cjs' } });
} else if (process.argv.includes('--fingerprint')) {
  await build({
    ...common,
    entryPoints: ['packages/testkit/fingerprint/main.ts'],
    outfile: 'target/fingerprint.cjs',
    format: 'cjs',
  });
} else {
  await build({
    ...common,
    entryPoints: ['packages/daemon/src/main.ts'],
    outfile: 'target/gingerlock.cjs',
    format: 'cjs',
    minify: true,
    keepNames: true,
    legalComments: 'none',
    banner: { js: '#!/usr/bin/env node' },
  });
}
