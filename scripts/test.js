#!/usr/bin/env node
'use strict';
// Runs the tests. Failures listed in KNOWN-RED.txt are printed but do not fail
// the run; any other failure does.
const fs = require('node:fs');
const path = require('node:path');
const {spawnSync} = require('node:child_process');

const ROOT = path.join(__dirname, '..');
/** The second pass runs its tests one at a time. */
const CONFIGS = ['jest.config.js', 'jest.memory.config.js'];
const NO_TESTS = {failed: [], numPassedTests: 0, numFailedTests: 0};
const OUTPUT = path.join(ROOT, 'dist', 'jest.json');

function readKnownRed() {
  const file = path.join(ROOT, 'KNOWN-RED.txt');
  if (!fs.existsSync(file)) {
    return [];
  }
  const lines = fs.readFileSync(file, 'utf8').split('\n');
  return lines
    .filter(line => line.trim() !== '')
    .map(line => line.split(' | ')[0].trim());
}

/** Names of the failed tests; undefined: the run gave no result. */
function runJest(config, args) {
  fs.rmSync(OUTPUT, {force: true});
  const jest = path.join(ROOT, 'node_modules', '.bin', 'jest');
  const run = spawnSync(
    jest,
    [
      '--config',
      config,
      '--json',
      `--outputFile=${OUTPUT}`,
      // A pattern may select tests of one pass only.
      ...(args.length > 0 ? ['--passWithNoTests'] : []),
      ...args,
    ],
    {cwd: ROOT, stdio: ['ignore', 'ignore', 'inherit']},
  );
  if (!fs.existsSync(OUTPUT)) {
    return run.status === 0 ? NO_TESTS : undefined;
  }
  const result = JSON.parse(fs.readFileSync(OUTPUT, 'utf8'));
  const failed = result.testResults.flatMap(file =>
    file.assertionResults.length === 0 && file.status === 'failed'
      ? [file.name]
      : file.assertionResults
          .filter(test => test.status === 'failed')
          .map(test => test.fullName),
  );
  const {numPassedTests, numFailedTests} = result;
  return run.status !== 0 && failed.length === 0
    ? undefined
    : {failed, numPassedTests, numFailedTests};
}

function main() {
  const known = readKnownRed();
  const args = process.argv.slice(2);
  const passes = CONFIGS.map(config => runJest(config, args));
  if (passes.includes(undefined)) {
    process.stdout.write('failed: a run without a result\n');
    return 1;
  }
  const failed = passes.flatMap(pass => pass.failed);
  const unknown = failed.filter(name => !known.includes(name));
  for (const name of failed.filter(test => known.includes(test))) {
    process.stdout.write(`known red: ${name}\n`);
  }
  for (const name of unknown) {
    process.stdout.write(`failed: ${name}\n`);
  }
  const sum = key => passes.reduce((total, pass) => total + pass[key], 0);
  process.stdout.write(
    `Tests: ${sum('numPassedTests')} passed, ${sum('numFailedTests')} failed\n`,
  );
  return unknown.length === 0 ? 0 : 1;
}

process.exitCode = main();
