#!/bin/sh
# Guards against a booking that runs twice, a refusal as "not run" of a request that ran,
# a wrong or truncated answer, and requests cut by a planned stop, while entry processes,
# upstreams and the leader are killed, frozen or stopped under load.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SITE_DIR=$(mktemp -d)
SITE_PORT=${SITE_PORT:-24100}
SITE_ENTRIES="e1 e2 e3"
. examples/site.sh
. regress/site_checks.sh
trap site_end EXIT
site_arguments
site_start || site_fail "site does not start"
start_upstream() { # NUMBER
	site_spawn "u$1" "$BUILD/bin/upstream" --listen 127.0.0.1:$((SITE_PORT + 70 + 4 * $1)) \
		--count 4 $controls --team guild --service gigdesk --name "u$1" --zone joburg-a \
		--slots 8 --service-ms exp:20 --seed "$1" --fail close=0.01 --fail truncate=5:0.01 \
		--ledger "$SITE_DIR/upstream.ledger" --ledger-starts
}
start_upstream 1
start_upstream 2
site_serves guild/gigdesk
"$BUILD/bin/loadgen" $entries --team guild --service gigdesk --rate 300 --duration 12 \
	--post 0.7 --unkeyed 0.2 --resend 3 --body uniform:0:2000 --answer uniform:0:20000 \
	--deadline-ms 4000 --timeout-ms 6000 --prefix load --seed 7 \
	--ledger "$SITE_DIR/caller.ledger" >"$SITE_DIR/load.json" &
load=$!
sleep 1
site_signal e1 KILL
sleep 1
site_run e1
site_signal u1 KILL
sleep 0.5
start_upstream 1
sleep 1
site_signal s1 KILL
sleep 1.5
site_run s1
sleep 1
site_signal e2 TERM
site_wait e2 || site_fail "e2 does not stop gracefully"
site_run e2
sleep 1
site_signal e3 KILL
sleep 0.3
site_run e3
leader=$(site_leader e2)
site_signal "$leader" STOP
sleep 2
site_signal "$leader" CONT
wait $load
cat "$SITE_DIR/load.json"
check_requests "$SITE_DIR/caller.ledger" "$SITE_DIR/upstream.ledger" || site_fail "ledgers disagree"
done_count=$(sed -n 's/^ *"done": \([0-9]*\),.*/\1/p' "$SITE_DIR/load.json" | head -n 1)
[ "$done_count" -gt 1000 ] || site_fail "only $done_count requests were served"
echo "site requests: ok"
