#!/usr/bin/env bash
# Runs the whole system on this machine: three halls with two boxes, four
# engines and two plain servers each. It publishes the declarations of
# examples/demo.toml, sends mixed requests through all gateways, and meanwhile
# kills a controller and an engine. The last line is the callers' summary.
# Usage: scripts/demo.sh DIRECTORY-OF-PROGRAMS [REQUESTS]
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$1
requests=${2:-2000}
work=$(mktemp -d)
pids=()

finish() {
  # Only the processes that this script has started are ended.
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do
    while kill -0 "$pid" 2>/dev/null; do sleep 0.1; done
  done
  rm -rf "$work"
}
trap finish EXIT

start() { # start NAME PROGRAM ARGUMENTS...
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  # A process that is killed on purpose is not reported by the shell.
  disown $!
  pids+=($!)
  last=$!
}

wait_for() { # wait_for URL SECONDS
  local end=$((SECONDS + $2))
  until curl -fs -o /dev/null "$1"; do
    if ((SECONDS > end)); then
      echo "demo: $1 did not become ready" >&2
      tail -n 3 "$work"/*.log >&2
      exit 1
    fi
    sleep 0.2
  done
}

join() { local IFS=,; echo "$*"; }

halls=(1 2 3)
boxes=(1 2)
engines=(1 2 3 4)
log=127.0.0.1:7801
list=127.0.0.1:7802
box_json=()
server_json=()
gateways=()
operators=()

for h in "${halls[@]}"; do
  for b in "${boxes[@]}"; do
    ip=127.0.$h.$b
    box_json+=("{\"id\":\"box-$h$b\",\"hall\":\"hall-$h\",\"gateway_peer_url\":\"http://$ip:7811\",\"controller_peer_url\":\"http://$ip:7821\",\"state\":\"live\"}")
    gateways+=("\"http://$ip:7810\"")
    operators+=("\"http://$ip:7822\"")
  done
  for e in "${engines[@]}"; do
    speed=$((2 + 2 * (e % 2)))
    checks=$([ "$e" = 4 ] && echo false || echo true)
    server_json+=("{\"id\":\"engine-$h$e\",\"hall\":\"hall-$h\",\"kind\":\"engine\",\"url\":\"http://127.0.$h.10$e:7830\",\"state\":\"live\",\"speed\":$speed,\"max_layers\":8,\"checks_tokens\":$checks}")
  done
  for s in booking refund; do
    port=$([ $s = booking ] && echo 7840 || echo 7841)
    server_json+=("{\"id\":\"$s-$h\",\"hall\":\"hall-$h\",\"kind\":\"plain\",\"service\":\"$s\",\"url\":\"http://127.0.$h.110:$port\",\"state\":\"live\"}")
  done
done
echo "{\"boxes\":[$(join "${box_json[@]}")],\"servers\":[$(join "${server_json[@]}")]}" >"$work/members.json"

start log "$bin/slatebridge-standin" log --listen "$log"
start members "$bin/slatebridge-standin" members --listen "$list" --file "$work/members.json"
start refund "$bin/slatebridge-standin" plain --listen 127.0.1.110:7841 --listen 127.0.2.110:7841 --listen 127.0.3.110:7841
start booking "$bin/slatebridge-standin" plain --checks --listen 127.0.1.110:7840 --listen 127.0.2.110:7840 --listen 127.0.3.110:7840
for h in "${halls[@]}"; do
  for e in "${engines[@]}"; do
    speed=$((2 + 2 * (e % 2)))
    flag=$([ "$e" = 4 ] || echo --checks-tokens)
    start "engine-$h$e" "$bin/slatebridge-standin" engine --listen "127.0.$h.10$e:7830" --id "engine-$h$e" --speed $speed $flag
    engine_pid=$last
  done
done
for h in "${halls[@]}"; do
  for b in "${boxes[@]}"; do
    ip=127.0.$h.$b
    other=127.0.$h.$((3 - b))
    cat >"$work/controller-$h$b.toml" <<T
box = "box-$h$b"
hall = "hall-$h"
[listen]
peers = "$ip:7821"
operators = "$ip:7822"
[platform]
log = "http://$log"
list = "http://$list"
T
    cat >"$work/gateway-$h$b.toml" <<T
box = "box-$h$b"
hall = "hall-$h"
controllers = ["http://$ip:7821", "http://$other:7821"]
[listen]
callers = "$ip:7810"
peers = "$ip:7811"
operators = "$ip:7812"
[platform]
log = "http://$log"
[drain]
grace = "100ms"
T
    start "controller-$h$b" "$bin/slatebridge-controller" --settings "$work/controller-$h$b.toml"
    controller_pid=$last
    start "gateway-$h$b" "$bin/slatebridge-gateway" --settings "$work/gateway-$h$b.toml"
  done
done

cat >"$work/operator.toml" <<T
name = "demo"
controllers = [$(join "${operators[@]}")]
[platform]
log = "http://$log"
T
for h in "${halls[@]}"; do
  for b in "${boxes[@]}"; do
    wait_for "http://127.0.$h.$b:7812/readyz" 15
    wait_for "http://127.0.$h.$b:7822/readyz" 15
  done
done
"$bin/slatebridge" --settings "$work/operator.toml" publish examples/demo.toml

echo "demo: waiting until every hall holds every layer of both models"
loaded() { "$bin/slatebridge" --settings "$work/operator.toml" status | grep -c 'model=' || true; }
end=$((SECONDS + 25))
until [ "$(loaded)" = 12 ]; do
  if ((SECONDS > end)); then
    echo "demo: only $(loaded) of 12 engines are loaded; going on" >&2
    break
  fi
  sleep 0.5
done

cat >"$work/plan.json" <<T
{"Gateways":[$(join "${gateways[@]}")],
 "Ledgers":["http://127.0.1.110:7840","http://127.0.1.110:7841"],
 "Requests":$requests,"Workers":24,"Seed":1,
 "Chats":[
  {"Account":"store-1","Service":"assistant","Model":{"model":"isle","version":"3"},"Adapter":"creole","Layers":16,"Tokens":12},
  {"Account":"store-2","Service":"assistant","Model":{"model":"isle","version":"3"},"Adapter":"french","Layers":16,"Tokens":12},
  {"Account":"practice-1","Service":"reception","Model":{"model":"danube","version":"1"},"Adapter":"","Layers":16,"Tokens":8}],
 "Calls":[
  {"Account":"store-1","Service":"refunds"},
  {"Account":"store-2","Service":"refunds"},
  {"Account":"practice-1","Service":"bookings"}]}
T
"$bin/slatebridge-standin" load --plan "$work/plan.json" --label demo >"$work/load.out" 2>&1 &
load_pid=$!
sleep 1
echo "demo: killing controller box-32 and engine-34 under load"
kill -9 "$controller_pid" "$engine_pid"
status=0
wait "$load_pid" || status=$?
cat "$work/load.out"
if [ -n "${KEEP:-}" ]; then
  read -r -p "the system stays until you press enter " || true
fi
exit $status
