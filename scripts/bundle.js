'use strict';
// Bundles entry points, for the build and for the scripts that run a bundle.
const fs = require('node:fs');
const path = require('node:path');
const esbuild = require('esbuild');

const ROOT = path.join(__dirname, '..');

function bundle(entryPoint, outfile, options = {}) {
  esbuild.buildSync({
    entryPoints: [path.join(ROOT, entryPoint)],
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    outfile,
    logLevel: 'warning',
    ...options,
  });
}

// The process id in the name keeps concurrent runs from sharing a bundle.
function runBundled(entryPoint, name) {
  const outfile = path.join(ROOT, 'dist', `${name}-${process.pid}.js`);
  bundle(entryPoint, outfile);
  process.on('exit', () => fs.rmSync(outfile, {force: true}));
  require(outfile);
}

module.exports = {bundle, runBundled};
