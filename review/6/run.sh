#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/review-cases
if [ ! -x "$program" ] || [ ! -x target/release/skylarkshed ]; then
    echo "build with the command of deploy/system.toml and with review/build-2.sh" >&2
    exit 2
fi
"$program" slow-reader review/6
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
