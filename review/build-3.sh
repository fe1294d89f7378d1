#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 under target/review-3/. The daemon itself is built by
# the line `build` of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/scenario.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review "$source" -o "target/review-3/case-$number"
done
