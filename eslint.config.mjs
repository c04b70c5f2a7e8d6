// Type-checked rules for all TypeScript sources. Violations that are not fixed yet are listed by file and rule in
// eslint-legacy.json. The list is meant only to shrink: scripts/lint-legacy.mjs (`npm run lint:legacy`) regenerates it
// and rejects additions unless it is run with --allow-new.
import { readFileSync } from 'node:fs';
import js from '@eslint/js';
import comments from '@eslint-community/eslint-plugin-eslint-comments/configs';
import { createTypeScriptImportResolver } from 'eslint-import-resolver-typescript';
import importX from 'eslint-plugin-import-x';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

const SOURCES = ['packages/*/src/**/*.ts'];
const TESTS = ['packages/*/test/**/*.ts', 'packages/*/fingerprint/**/*.ts', 'packages/*/fuzz/**/*.ts'];

/**
 * Turns each rule off for the files that eslint-legacy.json lists as violating it. With LINT_ALL=1 all rules stay on,
 * so that the list can be regenerated.
 */
function legacyOverrides() {
  if (process.env.LINT_ALL === '1') return [];
  const legacy = JSON.parse(readFileSync(new URL('eslint-legacy.json', import.meta.url), 'utf8'));
  return Object.entries(legacy).map(([file, rules]) => ({
    files: [file],
    rules: Object.fromEntries(rules.map((rule) => [rule, 'off'])),
  }));
}

/** Naming in all sources: camelCase by default, PascalCase for types; constants of a module may be in UPPER_CASE. */
const NAMING = [
  { selector: 'default', format: ['camelCase'], leadingUnderscore: 'forbid', trailingUnderscore: 'forbid' },
  { selector: 'variable', modifiers: ['const', 'global'], format: ['camelCase', 'UPPER_CASE'] },
  { selector: 'classProperty', modifiers: ['static', 'readonly'], format: ['camelCase', 'UPPER_CASE'] },
  { selector: 'typeLike', format: ['PascalCase'] },
  // The compiler reports an unused parameter, even one that a used parameter follows, unless its name begins with an
  // underscore.
  { selector: 'parameter', modifiers: ['unused'], format: ['camelCase'], leadingUnderscore: 'allow' },
  // Not checked here: these names are declared elsewhere, by a module, by the type of the object or by a wire message.
  { selector: ['import', 'objectLiteralProperty', 'objectLiteralMethod'], format: null },
  { selector: ['variable', 'parameter'], modifiers: ['destructured'], format: null },
];

/**
 * Naming in the files that declare wire messages, settings and stored records. Properties of types have the names that
 * the external format gives them, and a schema may be in PascalCase because it has the name of its type.
 */
const SCHEMA_NAMING = [
  { selector: 'variable', modifiers: ['const', 'global'], format: ['camelCase', 'UPPER_CASE', 'PascalCase'] },
  { selector: 'typeProperty', format: null },
  ...NAMING.filter(({ selector, modifiers }) => selector !== 'variable' || !modifiers.includes('global')),
];
const SCHEMAS = ['packages/wire/src/**/*.ts', 'packages/peer/src/messages.ts', 'packages/daemon/src/settings/*.ts'];

export default tseslint.config(
  { ignores: ['target/', 'node_modules/', 'journal/'] },
  { linterOptions: { reportUnusedDisableDirectives: 'error' } },
  js.configs.recommended,
  comments.recommended,
  {
    rules: {
      eqeqeq: 'error',
      'no-console': 'error',
      '@eslint-community/eslint-comments/require-description': ['error', { ignore: ['eslint-enable'] }],
    },
  },
  {
    files: [...SOURCES, ...TESTS],
    extends: [...tseslint.configs.strictTypeChecked],
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    plugins: { 'import-x': importX },
    settings: {
      ...importX.flatConfigs.typescript.settings,
      'import-x/resolver-next': [createTypeScriptImportResolver({ project: 'tsconfig.json' })],
    },
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/naming-convention': ['error', ...NAMING],
      'import-x/no-duplicates': 'error',
      'import-x/order': ['error', { groups: ['builtin', ['external', 'internal'], 'parent', ['sibling', 'index']] }],
      // Assertions are allowed for an index that has just been checked against the bounds and for a key that has just
      // been set. `noUncheckedIndexedAccess` makes a check necessary on every array access; without the assertion, that
      // would be a branch that can never be taken.
      '@typescript-eslint/no-non-null-assertion': 'off',
      // A shorthand callback may return the result of a void call, and so may an early `return` in a function without
      // a result. The compiler knows that there is no value in either case.
      '@typescript-eslint/no-confusing-void-expression': [
        'error',
        { ignoreArrowShorthand: true, ignoreVoidReturningFunctions: true },
      ],
      // Numbers are allowed because messages contain them and a template formats them well. Objects are rejected. null
      // and any are accepted: these options replace those of strictTypeChecked, so the rule's own defaults apply.
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
    },
  },
  {
    files: SOURCES,
    plugins: { jsdoc },
    settings: { jsdoc: { mode: 'typescript' } },
    rules: {
      // Not needed for tests, because nothing imports a test.
      'import-x/no-cycle': 'error',
      'max-lines': ['error', { max: 400 }],
      'max-lines-per-function': ['error', { max: 60 }],
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          require: { FunctionDeclaration: true, ClassDeclaration: true },
          contexts: [
            'TSInterfaceDeclaration',
            'TSTypeAliasDeclaration',
            'TSEnumDeclaration',
            'VariableDeclaration',
          ].map((declaration) => `ExportNamedDeclaration > ${declaration}`),
        },
      ],
    },
  },
  { files: SCHEMAS, rules: { '@typescript-eslint/naming-convention': ['error', ...SCHEMA_NAMING] } },
  {
    files: TESTS,
    rules: {
      // `test` of node:test returns a promise that the test runner awaits.
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            { from: 'package', package: 'node:test', name: ['test', 'describe', 'it', 'suite'] },
          ],
        },
      ],
      // Tests decode untyped responses (JSON, MessagePack) and compare them as a whole.
      '@typescript-eslint/no-unsafe-argument': 'off',
      '@typescript-eslint/no-unsafe-assignment': 'off',
      '@typescript-eslint/no-unsafe-call': 'off',
      '@typescript-eslint/no-unsafe-member-access': 'off',
      '@typescript-eslint/no-unsafe-return': 'off',
      // Fakes implement asynchronous interfaces without anything to await.
      '@typescript-eslint/require-await': 'off',
      // Tests replace a method of an object, keep the original and call it on the same object.
      '@typescript-eslint/unbound-method': 'off',
      // The compiler assumes that a variable is unchanged after a test has waited, although a callback may have set it.
      '@typescript-eslint/no-unnecessary-condition': 'off',
    },
  },
  { files: ['**/*.mjs'], languageOptions: { globals: { process: 'readonly', console: 'readonly', URL: 'readonly' } } },
  { files: ['scripts/*.mjs'], rules: { 'no-console': 'off' } },
  ...legacyOverrides(),
);
