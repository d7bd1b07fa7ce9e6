#!/bin/sh
# Guards against "not run" of a request that ran when it was first sent, on a connection that
# ended before an answer, and was then sent again: to an upstream, and to an entry process.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SITE_DIR=$(mktemp -d)
SITE_PORT=${SITE_PORT:-25000}
SITE_STATE="s1"
SITE_ENTRIES="e1"
. examples/site.sh
. regress/site_checks.sh
trap site_end EXIT
site_arguments
site_start || site_fail "site does not start"
upstream=127.0.0.1:$((SITE_PORT + 70))
site_spawn u1 "$BUILD/bin/upstream" --listen $upstream $controls --team guild \
	--service gigdesk --name u1 --zone joburg-a --slots 64 --service-ms 1500 \
	--ledger "$SITE_DIR/upstream.ledger" --ledger-starts
mode() {
	curl -sf -m 2 -X PUT -d "$1" "http://$upstream/-/mode" >/dev/null ||
		site_fail "upstream does not take mode $1"
}
started() { # PATH
	grep -q " GET $1 .* start\$" "$SITE_DIR/upstream.ledger"
}
site_serves guild/gigdesk

# The upstream runs the request, closes the connection and refuses what is sent after it.
mode close=1
curl -s -m 10 -o /dev/null -D "$SITE_DIR/answer" -H 'Carawayfront-Deadline-Ms: 5000' \
	"http://127.0.0.1:$(site_port callers e1)/guild/gigdesk/once" &
call=$!
site_until 5 started /once || site_fail "the request does not reach the upstream"
mode refuse=1
wait $call
grep -qi '^Carawayfront-Run: unknown' "$SITE_DIR/answer" ||
	site_fail "ran, and its caller was told: $(cat "$SITE_DIR/answer")"
mode none

# The entry process is killed under requests that run, and the next one refuses them before
# their paused caller sees the end of its connections.
"$BUILD/bin/loadgen" $entries --team guild --service gigdesk --rate 40 --duration 5 \
	--post 0.3 --resend 1 --deadline-ms 4000 --timeout-ms 6000 --prefix load --seed 7 \
	--ledger "$SITE_DIR/caller.ledger" >"$SITE_DIR/load.json" &
load=$!
sleep 3.5
kill -STOP $load
sleep 0.5
site_signal u1 STOP
site_signal e1 KILL
site_wait e1
site_run e1
listens() {
	curl -s -m 1 -o /dev/null "http://127.0.0.1:$(site_port callers e1)/"
}
site_until 10 listens || site_fail "e1 does not listen"
kill -CONT $load
site_signal u1 CONT
wait $load
cat "$SITE_DIR/load.json"
check_requests "$SITE_DIR/caller.ledger" "$SITE_DIR/upstream.ledger" ||
	site_fail "ledgers disagree"
echo "site resent: ok"
