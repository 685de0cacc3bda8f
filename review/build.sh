#!/bin/sh
# Builds the stand-ins of the cases. The standard library is enough, so no network is used.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
    --manifest-path review/stand-ins/Cargo.toml --target-dir target/review
