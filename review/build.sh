#!/usr/bin/env bash
# Builds the stand-ins of the scripts with the standard library alone, into target/review.
# The programs under test are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness review/harness/main.rs
