#!/usr/bin/env bash
# Measures the policies with the model in bench/: scripts/measure.sh M1|M2|M3|M4|balance|quick [-seed N]
# Prints one line for each figure: name, value, unit, value of the baseline.
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:?usage: scripts/measure.sh M1|M2|M3|M4|balance|quick [-seed N]}
shift
exec go run ./bench/policies -name "$name" "$@"
