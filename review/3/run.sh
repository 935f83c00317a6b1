#!/usr/bin/env bash
# Plays the case once: 1 when the rule was broken, 0 when it held, 2 when it could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.."
exec node review/3/case.mjs
