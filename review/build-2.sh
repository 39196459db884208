#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -buildvcs=false -o target/review-2/stand-2 ./review/stand-2
