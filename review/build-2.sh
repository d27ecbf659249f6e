#!/usr/bin/env bash
# Builds every stand-in that the scripts of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-bed-2 ./review/bed-2
