// Checks the documentation pages and the sources against each other: the paths in the pages, the list of log lines, and
// the names of the protocol, which only the packages wire and peer may use.
import assert from 'node:assert/strict';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { test } from 'node:test';
import type { ReclaimState } from '@gingerlock/borrowing';
import { GROUP_STATES } from '@gingerlock/wire';
import {
  type LogLevel,
  type LogMessage,
  logMessagesOf,
  namesUsedIn,
  readSources,
  schemaFieldsOf,
  type NameUse,
} from './source-reader';

// --- paths -----------------------------------------------------------------------------------------------------------

const PAGES_WITH_PATHS = ['docs/architecture.md', 'CONTRIBUTING.md'];

/** Files at the root or below these directories, except build output in `target`, which a fresh clone does not have. */
const PATH = /^(packages|docs|deploy|journal|\.ci)(\/[\w.*-]+)+\/?$|^[\w.-]+\.(md|mjs|json|ts|txt)$/;

function pathsIn(text: string): string[] {
  return [...text.matchAll(/`([^`\n]+)`/g)].map(([, code]) => code!).filter((code) => PATH.test(code));
}

/** Whether such a file or directory exists; `*` matches any one name. */
function exists(path: string): boolean {
  const star = path.indexOf('*');
  if (star < 0) return existsSync(path);
  return readdirSync(path.slice(0, star)).some((name) => exists(path.slice(0, star) + name + path.slice(star + 1)));
}

test('every path in the architecture and contributing pages exists', () => {
  for (const page of PAGES_WITH_PATHS) {
    const paths = pathsIn(readFileSync(page, 'utf8'));
    assert.ok(paths.length >= 5, `${page} names paths`);
    // The list of known failures exists only while there are any.
    const missing = paths.filter((path) => path !== 'KNOWN-RED.txt' && !exists(path));
    assert.deepEqual(missing, [], page);
  }
});

test('every link between pages points to an existing file', () => {
  const pages = ['README.md', 'CONTRIBUTING.md', ...readdirSync('docs').map((name) => `docs/${name}`)];
  for (const page of pages.filter((name) => name.endsWith('.md'))) {
    const targets = [...readFileSync(page, 'utf8').matchAll(/\]\(([^)\s#]+)(?:#[^)\s]*)?\)/g)].map(
      ([, target]) => target!,
    );
    const missing = targets.filter((target) => !/^[a-z]+:/.test(target) && !existsSync(join(dirname(page), target)));
    assert.deepEqual(missing, [], page);
  }
});

// --- log lines -------------------------------------------------------------------------------------------------------

/** The packages that make up a controller. */
const CONTROLLER_PACKAGES = ['borrowing', 'clients', 'core', 'daemon', 'peer', 'replica-groups', 'wire'];

/** The states of the message `reclaim STATE`: the owner logs the new state of a reclaim. */
const RECLAIM_STATES: Record<ReclaimState, true> = {
  decided: true,
  stopping: true,
  freed: true,
  granted: true,
  withdrawn: true,
};

/** The states that follow the text of a message template, by that text. */
const STATES_BY_TEMPLATE: ReadonlyMap<string, readonly string[]> = new Map<string, readonly string[]>([
  ['reclaim ', Object.keys(RECLAIM_STATES)],
  ['group ', GROUP_STATES],
]);

/** All messages of a template, or the single message of a literal, as `LEVEL MESSAGE`. */
function linesOf({ level, text, isTemplate, location }: LogMessage): string[] {
  if (!isTemplate) return [`${level} ${text}`];
  const endings = STATES_BY_TEMPLATE.get(text);
  assert.ok(endings !== undefined, `${location}: the test must list the states of this template`);
  return endings.map((ending) => `${level} ${text}${ending}`);
}

function documentedLines(): string[] {
  const lines: string[] = [];
  let level: LogLevel | null = null;
  for (const line of readFileSync('docs/log-lines.md', 'utf8').split('\n')) {
    const heading = /^## (error|info|debug)$/.exec(line);
    if (heading !== null) level = heading[1] as LogLevel;
    const row = /^\| `([^`]+)` +\|/.exec(line);
    if (row !== null) lines.push(`${level} ${row[1]}`);
  }
  return lines;
}

test('docs/log-lines.md lists exactly the log lines that the code writes, with their levels', () => {
  const messages = logMessagesOf(readSources(...CONTROLLER_PACKAGES));
  for (const prefix of STATES_BY_TEMPLATE.keys())
    assert.ok(
      messages.some(({ text, isTemplate }) => isTemplate && text === prefix),
      `no template begins with ${prefix}`,
    );
  const documented = documentedLines();
  assert.equal(new Set(documented).size, documented.length, 'a line is listed twice');
  assert.deepEqual([...documented].sort(), [...new Set(messages.flatMap(linesOf))].sort());
});

// --- names of the protocol -------------------------------------------------------------------------------------------

/** Fields of the protocol that the code reads or writes by name and that are in no schema. */
const OTHER_FIELDS = ['foreman', 'sku', 'yards', 'low_price', 'fetch_gb_per_s', 'ready_s', 'cache_gb'];

interface Exception {
  readonly names: readonly string[];
  /** The packages that may use them; undefined means all packages. */
  readonly packageNames?: readonly string[];
  /** They may be used only as the name of a called method. */
  readonly methodCallsOnly?: boolean;
  readonly reason: string;
}

const EXCEPTIONS: readonly Exception[] = [
  {
    names: [
      'addr',
      'apply',
      'cause',
      'events',
      'items',
      'more',
      'number',
      'page',
      'remove',
      'set',
      'state',
      'status',
      'stored',
    ],
    reason: 'ordinary words, which the code uses in their ordinary sense',
  },
  {
    names: ['awaits'],
    reason: 'the code has the same name for the dependencies of a job',
  },
  {
    names: ['generation', 'members', 'rank'],
    reason: "fields of gingerlock's own replica group messages; the code uses the same terms",
  },
  { names: ['shift'], methodCallsOnly: true, reason: 'the method of arrays; the field is `agentEpoch` in the code' },
  {
    names: ['borrowed'],
    packageNames: ['borrowing', 'daemon'],
    reason: 'what a team runs beyond its guarantee; the field is `spot` in the code',
  },
  {
    names: ['urgency'],
    packageNames: ['clients', 'daemon', 'testkit'],
    reason: 'the order of requests to the key-value store; the field is `priority` in the code',
  },
  {
    names: ['shape'],
    packageNames: ['core'],
    reason: 'the request that alike tasks share; the field is `kind` in the code',
  },
  {
    names: ['parts'],
    packageNames: ['daemon'],
    reason: 'pieces of a line of text; the key of the stored record is `partitionCount` in the code',
  },
  { names: ['data'], packageNames: ['testkit'], reason: 'an ordinary word; the field is `value` in the code' },
  {
    names: ['name_id', 'breeds', 'cores'],
    packageNames: ['testkit'],
    reason: 'the stand-in of users sends malformed submissions, which no encoder of the code can write',
  },
];

function isExcepted({ name, packageName, isMethodCall }: NameUse): boolean {
  return EXCEPTIONS.some(
    (exception) =>
      exception.names.includes(name) &&
      (exception.packageNames?.includes(packageName) ?? true) &&
      (exception.methodCallsOnly !== true || isMethodCall),
  );
}

test('only wire and peer use the names of the protocol', () => {
  const wire = readSources('wire');
  for (const field of OTHER_FIELDS)
    assert.ok(
      wire.some(({ tree }) => new RegExp(`\\b${field}\\b`).test(tree.text)),
      `wire does not know ${field}`,
    );
  // Names of one or two letters are keys of stored records and too short to search for.
  const fields = new Set([...schemaFieldsOf(wire), ...OTHER_FIELDS].filter((name) => name.length > 2));
  for (const name of ['rig', 'parcel', 'baton', 'shift', 'tally', 'breed', 'yard', 'crew'])
    assert.ok(fields.has(name), `${name} is found in the schemas`);
  for (const { names } of EXCEPTIONS)
    for (const name of names) assert.ok(fields.has(name), `the exception ${name} is a field of the protocol`);
  const others = readSources().filter(({ packageName }) => packageName !== 'wire' && packageName !== 'peer');
  const found = namesUsedIn(others).filter((use) => fields.has(use.name) && !isExcepted(use));
  assert.deepEqual(
    found.map(({ name, location }) => `${name} at ${location}`),
    [],
  );
});
