#!/usr/bin/env bash
# Runs the case; with TROUBLE=0 without its disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." && TROUBLE="${TROUBLE:-1}" exec node review/5/case.mjs
