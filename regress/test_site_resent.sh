#!/bin/sh
# Guards against "not run" of a request that ran when it was first sent, on a connection that
# ended before an answer, and that the upstream refused when it was sent again.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SITE_DIR=$(mktemp -d)
SITE_PORT=${SITE_PORT:-25000}
SITE_STATE="s1"
SITE_ENTRIES="e1"
. examples/site.sh
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
echo "site resent: ok"
