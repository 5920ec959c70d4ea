#!/usr/bin/env node
'use strict';
// Runs the bench named on the command line.
require('./bundle').runBundled('bench/main.ts', 'bench');
