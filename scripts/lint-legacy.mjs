// Regenerates eslint-legacy.json, which lists for each file the rules that the file does not pass yet. The list is
// meant only to shrink: if a file violates a rule that is not listed for it, this script fails and leaves the list
// unchanged. The option --allow-new permits additions, for files that were renamed or split.
import { readFileSync, writeFileSync } from 'node:fs';
import { relative } from 'node:path';
import { ESLint } from 'eslint';
import prettier from 'prettier';

const LEGACY_FILE = 'eslint-legacy.json';

const root = new URL('..', import.meta.url).pathname;
process.chdir(root);

/** The rules that each file violates when eslint-legacy.json is ignored; files and rules are sorted. */
async function findViolatedRules() {
  // Makes eslint.config.mjs ignore eslint-legacy.json.
  process.env.LINT_ALL = '1';
  const results = await new ESLint().lintFiles(['.']);
  const rulesByFile = new Map();
  for (const { filePath, messages } of results) {
    const file = relative(root, filePath);
    for (const { ruleId, message, line } of messages) {
      // A finding that belongs to no rule (a syntax error, an unused disable comment) can not be listed.
      if (ruleId === null) throw new Error(`${file}:${line}: ${message}`);
      rulesByFile.set(file, (rulesByFile.get(file) ?? new Set()).add(ruleId));
    }
  }
  const files = [...rulesByFile.keys()].sort();
  return Object.fromEntries(files.map((file) => [file, [...rulesByFile.get(file)].sort()]));
}

const listedRules = JSON.parse(readFileSync(LEGACY_FILE, 'utf8'));
const violatedRules = await findViolatedRules();
const entriesOf = (list) => Object.entries(list).flatMap(([file, rules]) => rules.map((rule) => `${file}: ${rule}`));
const listedEntries = new Set(entriesOf(listedRules));
const newEntries = entriesOf(violatedRules).filter((entry) => !listedEntries.has(entry));

for (const entry of newEntries) console.error(`not listed in ${LEGACY_FILE}: ${entry}`);
if (newEntries.length > 0 && !process.argv.includes('--allow-new')) {
  console.error(`${LEGACY_FILE} was not changed: fix these violations, or use --allow-new for renamed or split files.`);
  process.exit(1);
}
const options = await prettier.resolveConfig(LEGACY_FILE);
writeFileSync(LEGACY_FILE, await prettier.format(JSON.stringify(violatedRules), { ...options, filepath: LEGACY_FILE }));

const fileCounts = new Map();
for (const rule of Object.values(violatedRules).flat()) fileCounts.set(rule, (fileCounts.get(rule) ?? 0) + 1);
for (const [rule, count] of [...fileCounts].sort(([, a], [, b]) => b - a)) console.log(`${count} files: ${rule}`);
console.log(`${entriesOf(violatedRules).length} entries, previously ${listedEntries.size}`);
