// Type-checked rules over all sources. What does not pass yet is listed by file and rule in eslint-legacy.json, which
// can only shrink: scripts/lint-legacy.mjs (`npm run lint:legacy`) writes it anew and refuses additions.
import { readFileSync } from 'node:fs';
import js from '@eslint/js';
import comments from '@eslint-community/eslint-plugin-eslint-comments/configs';
import { createTypeScriptImportResolver } from 'eslint-import-resolver-typescript';
import importX from 'eslint-plugin-import-x';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

const SOURCES = ['packages/*/src/**/*.ts'];
const TESTS = ['packages/*/test/**/*.ts', 'packages/*/fingerprint/**/*.ts'];

/** Rules that are off for exactly the files that break them today; LINT_ALL=1 leaves all on, to write the list anew. */
function legacyOverrides() {
  if (process.env.LINT_ALL === '1') return [];
  const legacy = JSON.parse(readFileSync(new URL('eslint-legacy.json', import.meta.url), 'utf8'));
  return Object.entries(legacy).map(([file, rules]) => ({
    files: [file],
    rules: Object.fromEntries(rules.map((rule) => [rule, 'off'])),
  }));
}

/** Names in all sources: camelCase, types in PascalCase, constants of a module in UPPER_CASE. */
const NAMING = [
  { selector: 'default', format: ['camelCase'], leadingUnderscore: 'forbid', trailingUnderscore: 'forbid' },
  { selector: 'variable', modifiers: ['const', 'global'], format: ['camelCase', 'UPPER_CASE'] },
  { selector: 'classProperty', modifiers: ['static', 'readonly'], format: ['camelCase', 'UPPER_CASE'] },
  { selector: 'typeLike', format: ['PascalCase'] },
  // The compiler takes an unused parameter before a used one for a mistake unless its name begins with an underscore.
  { selector: 'parameter', modifiers: ['unused'], format: ['camelCase'], leadingUnderscore: 'allow' },
  // These are named where they are declared: by a module, by the type of the object, or by the wire.
  { selector: ['import', 'objectLiteralProperty', 'objectLiteralMethod'], format: null },
  { selector: ['variable', 'parameter'], modifiers: ['destructured'], format: null },
];

/** Where names of the wire, settings and stored records are declared, beside schemas that are named like types. */
const EDGE_NAMING = [
  { selector: 'variable', modifiers: ['const', 'global'], format: ['camelCase', 'UPPER_CASE', 'PascalCase'] },
  { selector: 'typeProperty', format: null },
  ...NAMING.filter(({ selector, modifiers }) => selector !== 'variable' || !modifiers.includes('global')),
];
const EDGE = ['packages/wire/src/**/*.ts', 'packages/peer/src/messages.ts', 'packages/daemon/src/settings/*.ts'];

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
      // An index that the bounds just checked, or a key just set, is asserted: `noUncheckedIndexedAccess` asks for it
      // on each access to an array, and a branch that can not be taken would stand in its place.
      '@typescript-eslint/no-non-null-assertion': 'off',
      // A callback in shorthand passes on the nothing that it gets, and so does an early `return` of a function
      // without a result; the compiler knows both.
      '@typescript-eslint/no-confusing-void-expression': [
        'error',
        { ignoreArrowShorthand: true, ignoreVoidReturningFunctions: true },
      ],
      // Messages are made of numbers, which a template formats well. All else (objects, null, any) stays refused.
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
    },
  },
  {
    files: SOURCES,
    plugins: { jsdoc },
    settings: { jsdoc: { mode: 'typescript' } },
    rules: {
      // Nothing imports a test.
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
  { files: EDGE, rules: { '@typescript-eslint/naming-convention': ['error', ...EDGE_NAMING] } },
  {
    files: TESTS,
    rules: {
      // node:test's `test` gives a promise that its runner awaits.
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            { from: 'package', package: 'node:test', name: ['test', 'describe', 'it', 'suite'] },
          ],
        },
      ],
      // Tests read untyped answers (JSON, MessagePack) and compare them whole.
      '@typescript-eslint/no-unsafe-argument': 'off',
      '@typescript-eslint/no-unsafe-assignment': 'off',
      '@typescript-eslint/no-unsafe-call': 'off',
      '@typescript-eslint/no-unsafe-member-access': 'off',
      '@typescript-eslint/no-unsafe-return': 'off',
      // Stand-ins implement asynchronous interfaces with nothing to wait for.
      '@typescript-eslint/require-await': 'off',
      // Tests save a method, put another in its place and call the saved one on its object.
      '@typescript-eslint/unbound-method': 'off',
      // What a callback sets while a test waits, the compiler believes unchanged.
      '@typescript-eslint/no-unnecessary-condition': 'off',
    },
  },
  { files: ['**/*.mjs'], languageOptions: { globals: { process: 'readonly', console: 'readonly', URL: 'readonly' } } },
  { files: ['scripts/*.mjs'], rules: { 'no-console': 'off' } },
  ...legacyOverrides(),
);
