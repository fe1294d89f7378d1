#!/usr/bin/env bash
# Builds the stand-ins of the second review: the program build-review-2/stage, which has the
# platform's store, the upstreams and the clients of all cases.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o build-review-2/stage review/stage-2/*.cpp
