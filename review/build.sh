#!/bin/sh
# Builds the stand-ins that the scripts start. Needs no network: the crate has no dependencies.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins/Cargo.toml --target-dir target/review
