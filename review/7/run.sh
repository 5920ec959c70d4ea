#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")"
exec node case.js
