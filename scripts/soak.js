#!/usr/bin/env node
'use strict';
// Bundles the soak and runs it.
const path = require('node:path');
const esbuild = require('esbuild');

const ROOT = path.join(__dirname, '..');
const outfile = path.join(ROOT, 'dist', `soak-${process.pid}.js`);
esbuild.buildSync({
  entryPoints: [path.join(ROOT, 'bench', 'soak.ts')],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outfile,
  logLevel: 'warning',
});
require(outfile);
process.on('exit', () => require('node:fs').rmSync(outfile, {force: true}));
