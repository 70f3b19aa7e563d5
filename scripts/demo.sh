#!/usr/bin/env bash
# Builds the programs and runs a fleet of processes on loopback through a scenario of faults. "--list" lists the
# scenarios, "--scenario NAME" selects one.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p bin
go build -o bin/ ./cmd/... ./standin/cmd/... ./bench/demo
exec bin/demo --binaries "$PWD/bin" "$@"
