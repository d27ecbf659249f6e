#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hickoryfront ] && [ -x target/reviewbed ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/reviewbed stop review/3
