#!/bin/sh
# Builds the stand-ins of review/stand-in-3 with the standard library alone; needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2024 -O -o target/stand-in-3 review/stand-in-3/main.rs
