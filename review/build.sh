#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/*/main.go; do
  n=$(basename "$(dirname "$main")")
  go build -buildvcs=false -o "target/review/$n" "./review/$n"
done
