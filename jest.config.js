/** Tests lie beside the files; scenarios lie in features/. */
module.exports = {
  testMatch: ['**/*.test.ts', '**/*.steps.ts'],
  testPathIgnorePatterns: [
    '/node_modules/',
    '/dist/',
    '\\.memory\\.test\\.ts$',
  ],
  modulePathIgnorePatterns: ['<rootDir>/dist/'],
  transform: {
    '^.+\\.ts$': [
      '@swc/jest',
      {
        jsc: {parser: {syntax: 'typescript'}, target: 'es2022'},
        module: {type: 'commonjs'},
      },
    ],
  },
  reporters: ['default', '<rootDir>/scripts/closing-line.js'],
  testTimeout: 60000,
  maxWorkers: 2,
};
