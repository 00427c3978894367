#!/bin/sh
# Runs the case; see claim.txt. Exit status: 1 broken, 0 held, 2 could not run.
# TROUBLE=0 does the same without the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/filbertgrade ] || exit 2
exec target/review/standin past-outage review/5
