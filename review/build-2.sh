#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2, without a
# network: they use the standard library alone. Needs the build of the deploy file only to run
# them.
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline \
    --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
