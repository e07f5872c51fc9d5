#!/bin/sh
# Plays the case and writes record.txt beside this file. Needs the build of the deploy file and review/build.sh.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/release/review-case ] && [ -x target/cluster/sagetrail-core ] || exit 2
exec target/review/release/review-case gang-trial review/3/record.txt
