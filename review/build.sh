#!/usr/bin/env bash
# Builds the programs of the review's scripts into target/review/. Each holds its stand-ins for the
# store, the targets and the callers.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review/case-$name"
done
