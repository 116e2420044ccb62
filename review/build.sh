#!/usr/bin/env bash
# Builds the stand-ins of the review. They need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/cases review/stand-ins/main.rs
