#!/usr/bin/env bash
# Builds what the scripts of review/4 and later start, beside the programs of the deploy file: the
# cases themselves, with the project's stand-ins and those of review/tools-2.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/tools-2/Cargo.toml --target-dir target/review-2
