#!/bin/sh
# Builds the stand-ins of the review's scripts: the Rust compiler alone, no dependency, no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standins review/standins/main.rs
