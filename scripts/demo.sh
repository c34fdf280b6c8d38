#!/usr/bin/env bash
# Starts a small deployment on loopback as separate processes, sends load,
# changes a table at run time and stops every process that it started. It exits
# with 0 only if every answer was correct and complete and every call was
# executed once.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=$PWD/bin
dir=$(mktemp -d)
pids=()

cleanup() {
  local status=$?
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "$status" -eq 0 ]; then rm -rf "$dir"; else echo "demo failed; logs are in $dir"; fi
}
trap cleanup EXIT

# run NAME COMMAND... starts a process in the background with its log in
# $dir/NAME.log.
run() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}

# wait_for URL waits up to 200 polls, 50 ms apart, until the URL answers with
# success.
wait_for() {
  for _ in $(seq 200); do
    if curl -fsS -o /dev/null "$1" 2>/dev/null; then return 0; fi
    sleep 0.05
  done
  echo "$1 does not answer"
  return 1
}

# publish REVISION builds the tables and writes them to the configuration service:
# the parts first, then the manifest that lists them.
publish() {
  "$bin/agatectl" build "$dir/tables" "$dir/publish" --revision "$1" >/dev/null
  local base=http://127.0.0.1:19000/v1/values
  while IFS= read -r file; do
    curl -fsS -o /dev/null -T "$dir/publish/$file" "$base/$file"
  done < <(cd "$dir/publish" && find . -type f -path '*part*' | sed 's|^\./||')
  curl -fsS -o /dev/null -T "$dir/publish/agate/manifest" "$base/agate/manifest"
}

# list_vm NAME ROLE ADDRESS FAILURE-DOMAIN writes a row of the VM list.
list_vm() {
  curl -fsS -o /dev/null -X PUT -d "{\"name\":\"$1\",\"role\":\"$2\",\"address\":\"$3\",\"failure_domain\":\"$4\",\"state\":\"live\"}" \
    http://127.0.0.1:19001/v1/vms
}

mkdir -p "$bin"
go build -o "$bin/" ./cmd/...

echo "== platform stand-ins, 4 engines, 2 plain services"
run config "$bin/agate-standin" config --listen 127.0.0.1:19000
run vmlist "$bin/agate-standin" vmlist --listen 127.0.0.1:19001 --lag 200ms
run weights "$bin/agate-standin" weights --listen 127.0.0.1:19002
wait_for http://127.0.0.1:19002/stats
for i in 1 2 3 4; do
  run "engine-$i" "$bin/agate-standin" engine --listen "127.0.0.1:1910$i" --weights http://127.0.0.1:19002 --base-model rota-base
done
for i in 1 2; do run "service-$i" "$bin/agate-standin" service --listen "127.0.0.1:1920$i"; done

echo "== tables: 40 adapters"
"$bin/agatectl" generate authority "$dir/tables" --adapters 40 --engines 4 --services 2 --base-port 19300 >/dev/null
"$bin/agatectl" check "$dir/tables"
publish 1

echo "== 6 target processes, 2 entries"
domains=(marneuli bolnisi gardabani tetritskaro)
target() { # NAME FAILURE-DOMAIN KIND BACKEND PORT ADMIN-PORT
  cat >"$dir/$1.json" <<JSON
{
  "name": "$1", "failure_domain": "$2", "kind": "$3", "backend": "$4",
  "listen": "127.0.0.1:$5", "admin_listen": "127.0.0.1:$6", "home_grace_ms": 1000,
}
JSON
  run "$1" "$bin/agate-target" --settings "$dir/$1.json"
  list_vm "$1" target "127.0.0.1:$5" "$2"
}
for i in 0 1 2 3; do
  target "rota-0$i" "${domains[$i]}" engine "http://127.0.0.1:1910$((i + 1))" "1930$i" "1940$i"
done
for i in 0 1; do
  target "ledger-0$i" "${domains[$i]}" service "http://127.0.0.1:1920$((i + 1))" "1930$((i + 4))" "1940$((i + 4))"
done
entry() { # NAME FAILURE-DOMAIN LAST-DIGIT-OF-PORTS
  cat >"$dir/$1.json" <<JSON
{
  "name": "$1", "failure_domain": "$2",
  "listen": "127.0.0.1:1950$3", "peer_listen": "127.0.0.1:1951$3", "admin_listen": "127.0.0.1:1952$3",
  "config_service": "http://127.0.0.1:19000", "vm_list": "http://127.0.0.1:19001", "drain_delay_ms": 200,
}
JSON
  run "$1" "$bin/agate-entry" --settings "$dir/$1.json"
  list_vm "$1" entry "127.0.0.1:1951$3" "$2"
}
entry entry-1 marneuli 1
entry entry-2 bolnisi 2
for port in 19521 19522 19400 19401 19402 19403 19404 19405; do wait_for "http://127.0.0.1:$port/readyz"; done
# A target process does not run a call whose key was created less than the clock
# margin (5 s) plus home_grace_ms (1 s) after the process started.
sleep 7

# load FLAG... sends load through both entries and verifies the answers.
load() {
  "$bin/agate-load" run --entry http://127.0.0.1:19501 --entry http://127.0.0.1:19502 \
    --service http://127.0.0.1:19201 --service http://127.0.0.1:19202 \
    --routes "$dir/tables/routes.jsonc" --call-path /gates/release --call-share 0.3 "$@"
}

echo "== verified load: completions and calls"
load --rate 10 --duration 8s --tokens 12 --long-tokens 120 --seed 1

echo "== a changed table: adapter grower-0000 changes to version v2"
sed -i '/"adapter":"grower-0000"/s/"version":"v1"/"version":"v2"/' "$dir/tables/routes.jsonc"
publish 2
started=$(date +%s%N)
for port in 19501 19502; do
  for _ in $(seq 200); do
    curl -sS -D "$dir/headers" -o /dev/null -d '{"model":"grower-0000","prompt":"p","max_tokens":1}' "http://127.0.0.1:$port/v1/completions"
    if grep -qi '^x-agate-version: v2' "$dir/headers"; then break; fi
    sleep 0.05
  done
  grep -i '^x-agate-version: v2' "$dir/headers" >/dev/null
done
echo "in force at both entries $((($(date +%s%N) - started) / 1000000)) ms after publishing"

echo "== the same kind of load with the changed table"
load --rate 10 --duration 5s --tokens 12 --long-tokens 120 --seed 2

echo "== state of the processes"
"$bin/agatectl" status 127.0.0.1:19521 127.0.0.1:19522 127.0.0.1:19400 127.0.0.1:19404

echo "== planned stop"
for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
echo "demo passed"
