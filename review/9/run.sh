#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-bed-2 ] || [ ! -x target/hickoryfront ]; then
  echo "build first: the build line of deploy/system.toml and review/build-2.sh" >&2
  exit 2
fi
exec target/review-bed-2 -case held-up -out review/9
