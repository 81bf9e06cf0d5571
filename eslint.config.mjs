import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

/** Packages a package may not import from: imports point downwards only. */
const forbiddenImports = {
  contracts: ['core', 'stand-ins', 'gateway', 'daemon', 'cli', 'platform'],
  core: ['stand-ins', 'gateway', 'daemon', 'cli', 'platform'],
  'stand-ins': ['gateway', 'daemon', 'cli'],
  gateway: ['stand-ins', 'daemon', 'cli', 'platform'],
  daemon: ['cli', 'platform'],
  cli: ['stand-ins', 'daemon', 'platform'],
};

/** Node's ES module loader resolves only these paths of fp-ts. */
const fpTsPaths = {
  regex: '^fp-ts/(?!lib/[A-Za-z]+\\.js$)',
  message: "Import from 'fp-ts/lib/Name.js'.",
};

const layering = Object.entries(forbiddenImports).map(([name, forbidden]) => ({
  files: [`packages/${name}/src/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          fpTsPaths,
          ...forbidden.map((other) => ({
            group: [`@endivegate/${other}`, `@endivegate/${other}/*`],
            message: `${name} must not depend on ${other}.`,
          })),
        ],
      },
    ],
  },
}));

export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      '**/generated/**',
      'bench/out/**',
      'target/**',
      '**/*.mjs',
      'mocha.setup.ts',
      'packages/*/bin/**',
      '**/*.cjs',
    ],
  },
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: {
        projectService: { allowDefaultProject: ['packages/*/bin/*.js'] },
        tsconfigRootDir: import.meta.dirname,
      },
    },
    plugins: { jsdoc },
    rules: {
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          require: { FunctionDeclaration: true, ClassDeclaration: true },
          contexts: [
            'ExportNamedDeclaration > TSInterfaceDeclaration',
            'ExportNamedDeclaration > TSTypeAliasDeclaration',
            'ExportNamedDeclaration > VariableDeclaration',
          ],
        },
      ],
      '@typescript-eslint/no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              regex: '^fp-ts/(?!lib/.+\\.js$)',
              message: 'Plain Node resolves only fp-ts/lib/NAME.js.',
            },
          ],
        },
      ],
      eqeqeq: 'error',
      'no-param-reassign': 'error',
    },
  },
  {
    files: ['**/test.ts', 'bench/**/*.ts'],
    rules: {
      'jsdoc/require-jsdoc': 'off',
      '@typescript-eslint/no-unused-expressions': 'off',
      '@typescript-eslint/no-non-null-assertion': 'off',
    },
  },
  ...layering,
);
