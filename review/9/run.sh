#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/stage2 ] && [ -x target/shelfnode ] || exit 2
TROUBLE="${TROUBLE:-1}" exec target/review-2/stage2 leaders review/9/record.txt
