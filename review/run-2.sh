#!/usr/bin/env bash
# Runs a case of the second review: run-2.sh FOLDER NAME. Exits with 1 if the rule was broken, 0 if
# it held and 2 if the case could not run.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
stage=$root/build-review-2/stage
program=$root/target/bin/tarragonstage
if [ ! -x "$stage" ] || [ ! -x "$program" ]; then
  echo "case not run: build the daemon by the deploy file and the stand-ins by review/build-2.sh"
  exit 2
fi
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
timeout -k 2 115 "$stage" "$2" "$program" "$scratch" "$folder/record.txt"
code=$?
if [ "$code" -gt 2 ]; then
  code=2
fi
exit "$code"
