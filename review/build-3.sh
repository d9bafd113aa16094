#!/bin/sh
# Builds the stand-ins and drivers of the third review. Needs the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review3
go build -o target/review3/ ./review/kit3/cmd/...
