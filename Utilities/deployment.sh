# Functions for Utilities/demo and Utilities/failure-run, which run the Kinisi deployment as
# processes on loopback. Must be sourced from the root of the source tree.

bin=build/bin
deployment=Deployments/kinisi
run=$(mktemp -d)
declare -A pids

cleanup() {
  kill -KILL "${pids[@]}" 2>/dev/null || true
  rm -rf "$run"
}
trap cleanup EXIT

# start NAME COMMAND... starts a program in the background, logs to $run/NAME.log and keeps its
# process id in pids[NAME].
start() {
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids[$name]=$!
}

start_entry() {
  start "$1" $bin/tarragonstage --settings "$deployment/settings/$1.yaml"
}

# wait_for WHAT COMMAND... waits until the command succeeds. After about 30 s it prints the logs and
# exits with 1.
wait_for() {
  local what=$1
  shift
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then
      return
    fi
    sleep 0.1
  done
  echo "$what did not happen within 30 s" >&2
  tail -n 20 "$run"/*.log >&2
  exit 1
}

server=127.0.1.1:8080
ctl() { $bin/tarragonctl "$@" --server "$server" --server 127.0.3.2:8085; }

# call NAME CALLER-ADDRESS OPTION... sends requests with the caller stand-in, which appends their
# outcomes to the callers' journal.
call() {
  local name=$1 caller=$2
  shift 2
  printf '  %-12s ' "$name"
  timeout 120 $bin/caller-standin --entry 127.0.1.1:8080 --entry 127.0.3.2:8085 \
    --entry 127.0.5.1:8088 --caller "$caller" --id-prefix "$name" \
    --journal "$run/callers.jsonl" "$@"
}

# token TEAM prints the access token of a team in the demonstration deployment; see its README.
token() { echo "kinisi-$1-demo"; }

# Succeeds if one entry of each of the three regions serves reads and bookings.
serves_bookings() {
  local entry
  for entry in 127.0.1.1:8080 127.0.3.2:8085 127.0.5.1:8088; do
    try_once "$entry" --service catalog || return 1
    try_once "$entry" --service checkout --method POST --path /bookings || return 1
  done
}

# try_once ADDRESS:PORT OPTION... succeeds if a single request to the entry gets its full response.
try_once() {
  local entry=$1
  shift
  $bin/caller-standin --entry "$entry" --caller 10.10.0.1 --attempts 1 --id-prefix ready "$@" \
    | grep -q '"whole":1'
}

# Starts the platform, the targets and all entries, and waits until requests are served. Then
# empties the targets' journal, so that requests of the wait are not part of it.
start_deployment() {
  start platform $bin/platform-standin --address 127.0.0.10 --port 7000
  start targets $bin/target-standin --document $deployment/document.yaml \
    --journal "$run/targets.jsonl"
  for settings in $deployment/settings/*.yaml; do
    start_entry "$(basename "$settings" .yaml)"
  done
  wait_for "the start of the entries" serves_bookings
  : >"$run/targets.jsonl"
}
