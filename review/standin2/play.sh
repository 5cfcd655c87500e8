#!/usr/bin/env bash
# Usage: play.sh CASE RECORD. Starts the processes of a small deployment, restarts those that end, and plays a case.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
name=$1 record=$2
: >"$record"
dir=$(mktemp -d) || exit 2
if [ ! -x target/snipetack ] || [ ! -x target/review-2 ]; then
  echo "build the deploy file and review/build-2.sh first" | tee -a "$record"
  rm -rf "$dir"
  exit 2
fi

# Runs one process and starts it again 0.5 s after it has ended, as the platform does.
supervise() {
  local node=$1 pid=""
  trap 'kill -KILL "$pid" 2>/dev/null; exit 0' TERM
  while true; do
    if [ ! -e "$dir/$node.hold" ]; then
      SNIPETACK_BOOT=$dir/$node.jsonc target/snipetack node >>"$dir/$node.log" 2>&1 &
      pid=$!
      echo "$pid" >"$dir/$node.pid.new" && mv "$dir/$node.pid.new" "$dir/$node.pid"
      wait "$pid"
      rm -f "$dir/$node.pid"
      [ -e "$dir/$node.second" ] && cp "$dir/$node.second" "$dir/$node.jsonc"
    fi
    sleep 0.5 &
    wait $!
  done
}

supervisors=()
finish() {
  for s in "${supervisors[@]}"; do kill -TERM "$s" 2>/dev/null; done
  for s in "${supervisors[@]}"; do wait "$s" 2>/dev/null; done
  if [ -n "${KEEP_LOGS:-}" ]; then mkdir -p "$KEEP_LOGS" && cp "$dir"/*.log "$KEEP_LOGS"; fi
  rm -rf "$dir"
}
trap finish EXIT

target/review-2 prepare "$name" "$dir" || exit 2
for f in "$dir"/*.jsonc; do
  supervise "$(basename "$f" .jsonc)" &
  supervisors+=($!)
done
timeout -k 2 112 target/review-2 play "$name" "$dir" "$record"
code=$?
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
