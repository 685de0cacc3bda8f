#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review, without a network: they use the
# standard library alone. Needs the build of the deploy file only to run them.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-2"
exec cargo build --release --locked --offline
