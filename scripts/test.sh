#!/usr/bin/env bash
# Runs the tests of all modules with fixed seeds, except those listed in KNOWN-RED.txt, which it prints.
# An entry of KNOWN-RED.txt starts with "test: NAME", NAME being a top-level Go test.
set -euo pipefail
cd "$(dirname "$0")/.."

skip=()
if [ -s KNOWN-RED.txt ]; then
	names=$(sed -n 's/^test: *\([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|' -)
	if [ -n "$names" ]; then
		echo "known failing tests, not run:"
		cat KNOWN-RED.txt
		skip=(-skip "^($names)\$")
	fi
fi
mapfile -t packages < <(go list ./... ./standin/... ./bench/... | grep -v '/bench/crowd$')
go test -count=1 -p 4 "${skip[@]}" "${packages[@]}"
# Checks the memory of real processes, so nothing may run beside it.
exec go test -count=1 "${skip[@]}" ./bench/crowd
