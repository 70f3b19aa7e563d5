#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The nodes are built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/ ./review/rig
