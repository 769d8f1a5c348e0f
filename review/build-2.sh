#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. Needs only the Rust compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -D warnings review/stand-in-2/main.rs -o target/review/stand-in-2
rustc --edition 2024 -O -D warnings review/stand-in-3/main.rs -o target/review/stand-in-3
