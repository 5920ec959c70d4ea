#!/usr/bin/env node
'use strict';
// Bundles src/main.ts and, unless --bundle-only is given, makes the single
// executable dist/ferrycleat from the bundle and this machine's Node. With
// --target it only makes the bundle that deploy/system.toml runs.
const fs = require('node:fs');
const path = require('node:path');
const {execFileSync} = require('node:child_process');
const {bundle} = require('./bundle');

const ROOT = path.join(__dirname, '..');
const BUNDLE = path.join(ROOT, 'dist', 'ferrycleat.js');
const BLOB = path.join(ROOT, 'dist', 'ferrycleat.blob');
const BINARY = path.join(ROOT, 'dist', 'ferrycleat');
const SEA_CONFIG = path.join(ROOT, 'dist', 'sea-config.json');
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

function makeExecutable() {
  const config = {
    main: BUNDLE,
    output: BLOB,
    disableExperimentalSEAWarning: true,
  };
  fs.writeFileSync(SEA_CONFIG, JSON.stringify(config));
  execFileSync(process.execPath, ['--experimental-sea-config', SEA_CONFIG], {
    stdio: 'ignore',
  });
  fs.copyFileSync(process.execPath, BINARY);
  fs.chmodSync(BINARY, 0o755);
  const postject = path.join(ROOT, 'node_modules', '.bin', 'postject');
  execFileSync(
    postject,
    [BINARY, 'NODE_SEA_BLOB', BLOB, '--sentinel-fuse', SEA_FUSE],
    {stdio: 'ignore'},
  );
  fs.rmSync(BLOB);
  fs.rmSync(SEA_CONFIG);
}

if (process.argv.includes('--target')) {
  // Only what runs at a site: a process is up sooner with less to load.
  bundle('platform/main.ts', path.join(ROOT, 'target', 'ferrycleat.js'));
} else {
  fs.mkdirSync(path.join(ROOT, 'dist'), {recursive: true});
  bundle('src/main.ts', BUNDLE);
  if (!process.argv.includes('--bundle-only')) {
    makeExecutable();
  }
}
