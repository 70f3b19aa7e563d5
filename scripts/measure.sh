#!/usr/bin/env bash
# Measures the policies with the model in bench/: scripts/measure.sh M1|M2|M3|M4|balance|quick [-seed N]
# and the cost of a node by size: scripts/measure.sh capacity [--part NAME] [--short]
# Prints one line for each figure: name, value, unit, value of the baseline or target.
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:?usage: scripts/measure.sh M1|M2|M3|M4|balance|quick|capacity [-seed N]}
shift
if [[ $name == capacity ]]; then
  exec go run ./bench/capacity "$@"
fi
exec go run ./bench/policies -name "$name" "$@"
