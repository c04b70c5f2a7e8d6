// Writes eslint-legacy.json anew: by file, the rules that it does not pass yet. The list can only shrink: a file or
// rule that is not on it yet makes this fail and leaves it as it is, unless --allow-new is given (for files that were
// renamed or divided).
import { readFileSync, writeFileSync } from 'node:fs';
import { relative } from 'node:path';
import { ESLint } from 'eslint';
import prettier from 'prettier';

const LIST = 'eslint-legacy.json';

const root = new URL('..', import.meta.url).pathname;
process.chdir(root);

/** By file, the rules that it breaks with no override in force, both in order. */
async function brokenRules() {
  // Read by eslint.config.mjs.
  process.env.LINT_ALL = '1';
  const results = await new ESLint().lintFiles(['.']);
  const rulesByFile = new Map();
  for (const { filePath, messages } of results) {
    const file = relative(root, filePath);
    for (const { ruleId, message, line } of messages) {
      // What is no rule's finding (a syntax error, a disable comment that is of no use) can not be listed.
      if (ruleId === null) throw new Error(`${file}:${line}: ${message}`);
      rulesByFile.set(file, (rulesByFile.get(file) ?? new Set()).add(ruleId));
    }
  }
  const files = [...rulesByFile.keys()].sort();
  return Object.fromEntries(files.map((file) => [file, [...rulesByFile.get(file)].sort()]));
}

const known = JSON.parse(readFileSync(LIST, 'utf8'));
const broken = await brokenRules();
const pairsOf = (list) => Object.entries(list).flatMap(([file, rules]) => rules.map((rule) => `${file}: ${rule}`));
const knownPairs = new Set(pairsOf(known));
const added = pairsOf(broken).filter((pair) => !knownPairs.has(pair));

for (const pair of added) console.error(`not on the list: ${pair}`);
if (added.length > 0 && !process.argv.includes('--allow-new')) {
  console.error(`${LIST} is left as it is: mend these, or say --allow-new.`);
  process.exit(1);
}
const options = await prettier.resolveConfig(LIST);
writeFileSync(LIST, await prettier.format(JSON.stringify(broken), { ...options, filepath: LIST }));

const filesByRule = new Map();
for (const rule of Object.values(broken).flat()) filesByRule.set(rule, (filesByRule.get(rule) ?? 0) + 1);
for (const [rule, files] of [...filesByRule].sort(([, a], [, b]) => b - a)) console.log(`${files} files: ${rule}`);
console.log(`${pairsOf(broken).length} entries, of ${knownPairs.size} before`);
