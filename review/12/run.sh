#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/filbertmux ] && [ -x target/review3/older-copy ] || exit 2
exec target/review3/older-copy review/12/record.txt
