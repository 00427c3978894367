#!/bin/sh
# Runs the case; see claim.txt. Exit status: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/filbertgrade ] || exit 2
exec target/review/standin withdrawn-key review/3
