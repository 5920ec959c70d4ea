#!/usr/bin/env node
'use strict';
// Runs the soak.
require('./bundle').runBundled('bench/soak.ts', 'soak');
