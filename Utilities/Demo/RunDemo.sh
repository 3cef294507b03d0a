#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
# Runs one deployment on loopback: three halls with their entries and control
# boxes and stand-in endpoints, sends its real input through, prints what
# came of it and ends everything again.
#
# usage: RunDemo.sh BUILD-FOLDER [hinokuni|windward] [RATE] [COUNT]
set -eu
build=$1
deployment=${2:-hinokuni}
rate=${3:-40}
count=${4:-200}
here=$(cd "$(dirname "$0")" && pwd)
config=$here/$deployment.toml
run=$(mktemp -d "${TMPDIR:-/tmp}/weirgate-demo.XXXXXX")
pids=

cleanup()
{
  status=$?
  if [ $status != 0 ]; then tail -n 3 "$run"/*.log >&2; fi
  for pid in $pids; do kill "$pid" 2>/dev/null || true; done
  for pid in $pids; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$run"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

start()
{
  name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids="$pids $!"
}

# A condition that must come true within a while; nothing waits longer.
until_true()
{
  what=$1
  shift
  tries=0
  until "$@" >/dev/null 2>&1; do
    tries=$((tries + 1))
    if [ $tries -gt 300 ]; then
      echo "The demo gave up waiting for: $what" >&2
      exit 1
    fi
    sleep 0.1
  done
}

WEIRGATE_PEER_KEY=demo-peer-key-$$
WEIRGATE_OPERATORS=demo=demo-operator-key-$$
export WEIRGATE_PEER_KEY WEIRGATE_OPERATORS
halls=$(sed -n '/^\[\[hall\]\]/{n;s/.*"\(.*\)"/\1/p;}' "$config")
base=$(sed -n 's/^port = //p' "$config" | head -n 1)
base=$((base + 500))

serves=$(awk -F' = ' '
  /^\[\[/ { table = $0 }
  table == "[[group]]" && $1 == "name" { gsub(/"/, "", $2); g = $2 }
  table == "[[group]]" && $1 == "kind" { gsub(/"/, "", $2); kind[g] = $2 }
  table == "[[endpoint]]" && $1 == "group" { gsub(/"/, "", $2); eg = $2 }
  table == "[[endpoint]]" && $1 == "port" { port = $2 }
  table == "[[endpoint]]" && $1 == "slots" {
    printf "--serve %s:%s:%s:%s ", kind[eg], port, $2, 2
  }' "$config")
# shellcheck disable=SC2086
start endpoints "$build/Utilities/weirgate-standin" --lifetime 300 $serves

controls=
seeds=
entries=
i=0
for hall in $halls; do
  controls=$controls${controls:+,}127.0.0.1:$((base + i))
  for n in 0 1 2; do
    seeds=$seeds${seeds:+,}127.0.0.1:$((base + 20 + i * 3 + n))
    entries=$entries${entries:+,}127.0.0.1:$((base + 40 + i * 3 + n))
  done
  i=$((i + 1))
done
i=0
for hall in $halls; do
  start "control-$i" "$build/Utilities/weirgated" --role control \
    --box "control-$i" --hall "$hall" --peer "127.0.0.1:$((base + i))" \
    --controls "$controls" --data "$run/data-$i"
  for n in 0 1 2; do
    k=$((i * 3 + n))
    start "entry-$k" "$build/Utilities/weirgated" --role entry \
      --box "entry-$k" --hall "$hall" \
      --listen "127.0.0.1:$((base + 40 + k))" \
      --peer "127.0.0.1:$((base + 20 + k))" --controls "$controls" \
      --seeds "$seeds" --settle-ms 300 --max-connections 128
  done
  i=$((i + 1))
done

WEIRGATE_OPERATOR=demo
WEIRGATE_OPERATOR_KEY=demo-operator-key-$$
operator() { env -u WEIRGATE_PEER_KEY -u WEIRGATE_OPERATORS \
  WEIRGATE_OPERATOR=demo WEIRGATE_OPERATOR_KEY="$WEIRGATE_OPERATOR_KEY" \
  WEIRGATE_SERVERS="$controls,$seeds" "$build/Utilities/weirgate" "$@"; }
three_voters() { operator --output json show replicas |
  grep -c '"replica": "leader"' && [ "$(operator show replicas | wc -l)" -ge 4 ]; }

until_true "a cluster" operator found cluster
until_true "three control boxes" three_voters
until_true "the configuration" operator apply "$config"
operator wait revision 1

echo
echo "Sending $count requests at $rate a second through nine entries:"
"$build/Utilities/weirgate-load" --entries "$entries" --rate "$rate" \
  --count "$count" --inputs "$here/inputs/$deployment.jsonl" --strict
echo
echo "Cost by stage, as the entries booked it:"
operator show cost by stage
echo
echo "Plain services whose calls may not be repeated:"
awk -F' = ' '
  /^\[\[/ { table = $0 }
  table == "[[group]]" && $1 == "name" { g = $2 }
  table == "[[group]]" && $1 == "repeatable" { repeatable[g] = $2 }
  table == "[[endpoint]]" && $1 == "group" { eg = $2 }
  table == "[[endpoint]]" && $1 == "port" && repeatable[eg] == "false" {
    print eg, $2
  }' "$config" | while read -r group port; do
  curl -s "http://127.0.0.1:$port/v1/runs" | tr ',{}' '\n\n\n' |
    awk -v g="$group" -F: '/^"[0-9a-f]+":/ { n++; if ($2 > 1) d++ }
      END { printf "  %s: %d requests ran, %d of them twice\n", g, n, d + 0 }'
done
