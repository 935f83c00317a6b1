#!/usr/bin/env bash
# Builds what the scripts start besides the program of the deploy file: nothing. The stand-ins in `lib/` are plain
# modules that Node.js runs as they are, without a package and without a build.
set -euo pipefail
cd "$(dirname "$0")"
for module in lib/*.mjs ./*/case.mjs; do
	node --check "$module"
done
