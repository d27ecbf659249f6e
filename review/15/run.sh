#!/bin/sh
# Plays the case of this folder: exit 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hickoryfront ] && [ -x target/review/bed-3 ] || exit 2
exec target/review/bed-3 -case lost-quarantine -record review/15/record.txt
