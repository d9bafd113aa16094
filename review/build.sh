#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for dir in review/[1-9]; do
  if [ -f "$dir/main.go" ]; then
    go build -o "target/review/case$(basename "$dir")" "./$dir"
  fi
done
