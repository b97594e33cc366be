#!/usr/bin/env bash
# Demonstration with two zones of two daemons and stand-ins. Sends all kinds of
# calls, changes the configuration, kills one daemon, stops another gracefully,
# and spends a budget to its last token. Ends by itself, prints a table, and
# checks the results with tools/demo_verdict.py.
set -u
cd "$(dirname "$0")/.."
BIN=${BIN:-build/release}
WORK=$(mktemp -d)
. tools/fleet.sh
trap stop_all EXIT

echo "starting platform, 4 engines, 2 services, 4 daemons in 2 zones"
start_platform
wait_for "$PLATFORM/stats" || exit 1
start_endpoints
for number in 0 1; do start_daemon $number zone-a; done
for number in 2 3; do start_daemon $number zone-b; done
ctl publish examples/demo.json || exit 1
ctl budget create ring --tokens 10000000
ctl budget create docket --tokens 10000000
ctl budget create small --tokens 50
for number in 0 1 2 3; do wait_for "$(url_of $number)/readyz" || exit 1; done
sleep 3
ALL=$(url_of 0),$(url_of 1),$(url_of 2),$(url_of 3)

echo "streams, not-repeatable sales with tickets, and lookups for 15 s"
load --urls "$ALL" --subject words --key key-ring --streams 8 --rate 40 \
  --seconds 15 --retries 5 >"$WORK/stream.json" &
STREAMS=$!
load --urls "$ALL" --mode service --subject sales --key key-ring --streams 4 \
  --rate 40 --seconds 15 --tickets --retries 3 --keys \
  --seed 2 >"$WORK/sales.json" &
SALES=$!
load --urls "$ALL" --mode service --subject lookups --key key-docket \
  --streams 4 --rate 60 --seconds 15 --retries 5 --seed 3 \
  >"$WORK/lookups.json" &
LOOKUPS=$!
sleep 4
echo "draining engine-3 by a configuration change"
sed 's/"name": "engine-3",/"name": "engine-3", "draining": true,/' \
  examples/demo.json >"$WORK/drained.json"
ctl plan "$WORK/drained.json"
ctl publish "$WORK/drained.json"
sleep 3
echo "killing daemon-1"
kill -KILL "$(pid_of daemon-1)"
sleep 3
echo "stopping daemon-3 gracefully"
kill -TERM "$(pid_of daemon-3)"
wait $STREAMS $SALES $LOOKUPS

echo "spending a budget of 50 to the end"
load --urls "$(url_of 0),$(url_of 2)" --mode service --subject lookups \
  --key key-small --streams 4 --requests 80 --seconds 20 --seed 4 \
  >"$WORK/small.json"
sleep 8

curl -s http://127.0.0.1:21200/stats >"$WORK/plain-0.json"
curl -s http://127.0.0.1:21201/stats >"$WORK/plain-1.json"
ctl --json budget balance >"$WORK/balances.json"
ctl budget balance
echo
ctl burn
echo
# Exits with an error status, because two instances have ended by now.
ctl instances
echo
echo "the users' platform: two routers, a store, an engine and a plain service"
python3 tools/demo_platform.py >"$WORK/platform.json" || exit 1
python3 tools/demo_verdict.py "$WORK"
