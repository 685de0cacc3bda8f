#!/usr/bin/env bash
# Plays a case of the third review: `play-3.sh FOLDER NAME`. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/.."
gateway=target/release/skylarkshed
program=target/review-3/release/review-case
if [ ! -x "$gateway" ] || [ ! -x "$program" ]; then
    echo "build the deploy file's program and run review/build-3.sh first" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=5 110 "$program" case --name "$2" --trouble "${TROUBLE:-1}" \
    --gateway "$gateway" --record "review/$1/record.txt" --folder "$folder"
status=$?
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
