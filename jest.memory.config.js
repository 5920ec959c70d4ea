/** Tests of the memory of processes; they run one at a time, after all others. */
const base = require('./jest.config');

module.exports = {
  ...base,
  testMatch: ['**/*.memory.test.ts'],
  testPathIgnorePatterns: ['/node_modules/', '/dist/'],
  maxWorkers: 1,
};
