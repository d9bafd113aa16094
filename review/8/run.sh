#!/bin/sh
# Case 8; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-8 ] || [ ! -x target/filbertmux ]; then
	echo "build first: the line of deploy/system.toml, then review/build-2.sh" >&2
	exit 2
fi
exec target/review-8
