#!/usr/bin/env bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, with 0 if it held, with 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pistachiogap ] && [ -x target/review-2/stand-2 ] || { echo "not built: see review/build-2.sh" >&2; exit 2; }
exec target/review-2/stand-2 popular review/9/record.txt target/pistachiogap
