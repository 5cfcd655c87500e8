#!/usr/bin/env bash
# Plays a case of the third review: play-3.sh CASE FOLDER. It starts the stand-ins and all VMs of a small fleet as processes, restarts those that end
# as the platform does, waits for the outcome and ends what it started. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
case_name=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
time_limit=112    # seconds
start_skew=0.3    # seconds within which all VMs start
restart_delay=0.4 # seconds

if [ ! -x target/snipetack ] || [ ! -x target/review-3 ]; then
  echo "build first: the build line of deploy/system.toml and review/build-3.sh" >&2
  exit 2
fi
work=$(mktemp -d)
pids=()
cleanup() {
  exec 2>/dev/null # the shell's notes on killed jobs
  touch "$work/ended"
  kill -KILL "${pids[@]}" 2>/dev/null # first those that would restart the VMs
  sleep 0.1
  kill -KILL $(cat "$work"/*.pid 2>/dev/null) 2>/dev/null
  wait 2>/dev/null
  rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

# Runs a VM until the case ends. Its settings name the first start of the whole system only at its first start.
run_vm() {
  while [ ! -e "$work/ended" ]; do
    SNIPETACK_BOOT="$work/$1.jsonc" target/snipetack node >>"$work/$1.log" 2>&1 &
    echo "$!" >"$work/$1.part" && mv "$work/$1.part" "$work/$1.pid"
    wait "$!"
    rm -f "$work/$1.pid"
    sed -i 's/"bootstrap": true/"bootstrap": false/' "$work/$1.jsonc"
    sleep "$restart_delay"
  done
}

target/review-3 -case "$case_name" -dir "$work" -record "$folder/record.txt" &
driver=$!
pids+=("$driver")
for _ in $(seq 100); do
  [ -e "$work/settings" ] && break
  sleep 0.1
done
if [ ! -e "$work/settings" ]; then
  echo "no settings" >&2
  exit 2
fi
first=1
while read -r vm; do
  run_vm "$vm" 2>/dev/null &
  pids+=("$!")
  [ -n "$first" ] && sleep "$start_skew"
  first=
done <"$work/settings"
(sleep "$time_limit" && kill -KILL "$driver") 2>/dev/null &
pids+=("$!")
wait "$driver"
code=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$work"/*.log "$KEEP_LOGS"/
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
