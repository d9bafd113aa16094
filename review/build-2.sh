#!/bin/sh
# Builds the programs of the scripts of the second review. The build line of the deploy file
# has to run before.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
for n in 6 7 8 9 10; do
	if [ -f "review/$n/main.go" ]; then
		go build -o "target/review-$n" "./review/$n"
	fi
done
