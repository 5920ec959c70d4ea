#!/usr/bin/env node
'use strict';
// Runs the soak test.
require('./bundle').runBundled('bench/soak.ts', 'soak');
