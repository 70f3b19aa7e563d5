#!/usr/bin/env bash
# Plays case 6 with real processes. With TROUBLE=0 the store answers all machines. Exit codes: 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/rig-2 ] && [ -x target/agatepulley ] || exit 2
exec target/review-2/rig-2 6 review/6/record.txt
