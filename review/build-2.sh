#!/usr/bin/env bash
# Builds every stand-in that a case of the second review starts: they are plain modules, so they are only checked. The nodes come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for module in review/lib-2/*.mjs review/4/case.mjs review/5/case.mjs; do
	node --check "$module"
done
test -f target/cresshook.cjs
