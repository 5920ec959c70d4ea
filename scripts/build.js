#!/usr/bin/env node
'use strict';
// Bundles src/main.ts and, unless --bundle-only is given, makes the single
// executable dist/ferrycleat from the bundle and the Node.js binary running
// this script. With --target, only builds the bundle that deploy/system.toml
// runs.
const fs = require('node:fs');
const path = require('node:path');
const {execFileSync, spawnSync} = require('node:child_process');
const {bundle} = require('./bundle');

const ROOT = path.join(__dirname, '..');
const BUNDLE = path.join(ROOT, 'dist', 'ferrycleat.js');
const BLOB = path.join(ROOT, 'dist', 'ferrycleat.blob');
const BINARY = path.join(ROOT, 'dist', 'ferrycleat');
const SEA_CONFIG = path.join(ROOT, 'dist', 'sea-config.json');
/** Captures the Node.js arguments and the role of a process to deploy. */
const RUN_LINE = /^run = "node (.*)target\/ferrycleat\.js site (\w+)"$/gm;
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

/** Bundles only the roles of a site, so that processes start faster. */
function buildTarget() {
  const target = path.join(ROOT, 'target');
  fs.rmSync(target, {recursive: true, force: true});
  bundle('platform/main.ts', path.join(target, 'site.js'), {
    // Identifiers are not minified, to keep stack traces readable.
    minifyWhitespace: true,
    minifySyntax: true,
    charset: 'ascii',
  });
  removeShebang(path.join(target, 'site.js'));
  const loader = path.join(target, 'ferrycleat.js');
  fs.copyFileSync(path.join(__dirname, 'loader.js'), loader);
  const deployFile = fs.readFileSync(path.join(ROOT, 'deploy', 'system.toml'));
  for (const [, args, role] of String(deployFile).matchAll(RUN_LINE)) {
    writeCodeCache(loader, args.split(' ').filter(Boolean), role);
  }
}

/** The loader wraps the bundle in a function, where a shebang is invalid. */
function removeShebang(file) {
  const text = fs.readFileSync(file, 'utf8');
  fs.writeFileSync(file, text.slice(text.indexOf('\n') + 1));
}

/**
 * Runs a role so that the loader writes its code cache. The role loads all its
 * code and then exits, as its settings are empty.
 */
function writeCodeCache(loader, args, role) {
  spawnSync(process.execPath, [...args, loader, 'site', role], {
    env: {...process.env, FERRYCLEAT_WRITE_CACHE: '1', FERRYCLEAT_SETTINGS: ''},
    stdio: 'ignore',
  });
}

if (process.argv.includes('--target')) {
  buildTarget();
} else {
  fs.mkdirSync(path.join(ROOT, 'dist'), {recursive: true});
  bundle('src/main.ts', BUNDLE);
  if (!process.argv.includes('--bundle-only')) {
    makeExecutable();
  }
}
