import js from '@eslint/js';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['target/', 'node_modules/', 'journal/'] },
  js.configs.recommended,
  ...tseslint.configs.strict,
  {
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-non-null-assertion': 'off',
      eqeqeq: 'error',
      'no-console': 'error',
    },
  },
  { files: ['packages/*/src/**/*.ts'], rules: { 'max-lines': ['error', { max: 600 }] } },
  { files: ['*.mjs'], languageOptions: { globals: { process: 'readonly' } } },
);
