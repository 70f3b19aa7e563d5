#!/usr/bin/env bash
# Builds the stand-ins and clients of cases 6 to 10. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
go build -tags review2 -o target/review-2/ ./review/rig-2
