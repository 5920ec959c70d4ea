#!/usr/bin/env node
'use strict';
// Runs the tests. Failures listed in KNOWN-RED.txt are printed but do not fail
// the run; any other failure does.
const fs = require('node:fs');
const path = require('node:path');
const {spawnSync} = require('node:child_process');

const ROOT = path.join(__dirname, '..');
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

function main() {
  const known = readKnownRed();
  fs.rmSync(OUTPUT, {force: true});
  const jest = path.join(ROOT, 'node_modules', '.bin', 'jest');
  const args = ['--json', `--outputFile=${OUTPUT}`, ...process.argv.slice(2)];
  const run = spawnSync(jest, args, {
    cwd: ROOT,
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  if (run.status === 0) {
    return 0;
  }
  if (!fs.existsSync(OUTPUT)) {
    return 1;
  }
  const result = JSON.parse(fs.readFileSync(OUTPUT, 'utf8'));
  const failed = result.testResults.flatMap(file =>
    file.assertionResults.length === 0
      ? [file.name]
      : file.assertionResults
          .filter(test => test.status === 'failed')
          .map(test => test.fullName),
  );
  const unknown = failed.filter(name => !known.includes(name));
  for (const name of failed.filter(test => known.includes(test))) {
    process.stdout.write(`known red: ${name}\n`);
  }
  for (const name of unknown) {
    process.stdout.write(`failed: ${name}\n`);
  }
  return failed.length > 0 && unknown.length === 0 ? 0 : 1;
}

process.exitCode = main();
