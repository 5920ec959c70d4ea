#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/8 start.
set -euo pipefail
cd "$(dirname "$0")/.."
node -e "
const {bundle} = require('./scripts/bundle');
bundle('platform/store-standin.ts', 'dist/review-2/store-standin.js');
"
