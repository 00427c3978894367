#!/bin/sh
# Builds the stand-ins of the review cases: one program, standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
