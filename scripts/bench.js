#!/usr/bin/env node
'use strict';
// Runs the benchmark named on the command line.
require('./bundle').runBundled('bench/main.ts', 'bench');
