#!/bin/sh
# Builds the stand-ins of the cases in review/4, review/5 and review/6. Needs no network: they use the
# standard library alone. Arguments go to cargo, for example an empty --target-dir to try the build with.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2
export CARGO_TARGET_DIR
exec cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml "$@"
