#!/bin/sh
# Builds every stand-in that the cases start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked -p mustardpin-standin --bin platform-standin
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness review/harness/harness.rs
