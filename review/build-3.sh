#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. The build of the
# deploy file makes target/hickoryfront.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/bed-3 ./review/bed-3
