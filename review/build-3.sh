#!/usr/bin/env bash
# Builds the stand-ins and the cases of the third review. They use the standard library alone,
# so that nothing is fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked \
    --manifest-path review/stand-ins-3/Cargo.toml --target-dir target/review-3
