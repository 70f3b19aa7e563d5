#!/usr/bin/env bash
# Plays random faults on fleets of node processes: scripts/soak.sh --seed N --runs 50. "--help" lists the options. Logs of
# seeds that show something are kept under out/soak; add such a seed to bench/soak/testdata/seeds.txt with its cause.
set -euo pipefail
cd "$(dirname "$0")/.."

exec go run ./bench/soak/cmd "$@"
