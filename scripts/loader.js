#!/usr/bin/env node
'use strict';
// Runs the bundle of a site from the code cache that the build wrote, to save
// processor time when many processes start at once. V8 compiles the bundle if
// the cache is missing or was made by another version or with other arguments.
// A request to reload must not end a process that is still loading its code.
if (['entry', 'sidecar'].includes(process.argv[3])) {
  process.on('SIGHUP', () => undefined);
}
const fs = require('node:fs');
const nodeModule = require('node:module');
const path = require('node:path');
const vm = require('node:vm');

function compile() {
  const filename = path.join(__dirname, 'site.js');
  // The build emits ASCII, which is decoded and stored fastest as latin1.
  const code = nodeModule.wrap(fs.readFileSync(filename, 'latin1'));
  return new vm.Script(code, {filename, cachedData: readCache()});
}

/** V8 rejects a cache that was made with other Node.js arguments. */
function cachePath() {
  return path.join(__dirname, `site${process.execArgv.join('')}.cache`);
}

function readCache() {
  try {
    return fs.readFileSync(cachePath());
  } catch {
    return undefined;
  }
}

const script = compile();
if (process.env.FERRYCLEAT_WRITE_CACHE === '1') {
  // Set by the build; the process exits without settings once all is loaded.
  process.on('exit', () => {
    fs.writeFileSync(cachePath(), script.createCachedData());
  });
}
script.runInThisContext()(exports, require, module, __filename, __dirname);
