#!/bin/sh
# Builds the stand-ins of the cases. They use the standard library only, so no network is needed.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --quiet \
    --manifest-path review/standins/Cargo.toml --target-dir target/review
