#!/usr/bin/env bash
# Runs the case in the folder given, with a temporary folder for the settings and logs of the
# daemon. TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, with 0 if it
# held, with 2 if the case could not run.
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$folder/../.."
program=target/review/case-$(basename "$folder")
if [ ! -x "$program" ] || [ ! -x target/bin/tarragonstage ]; then
  echo "build first: the build line of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
# timeout also ends the daemon, which runs in the same process group.
timeout --signal=KILL 115 "$program" "$folder" "$temporary"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
