#!/bin/sh
# Guards against a request that is given up for connections that its upstreams closed while
# they lived on, and against a third upstream for one that has ended two.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SITE_PORT=${SITE_PORT:-26500}
SITE_STATE="s1"
SITE_ENTRIES="e1"
. examples/site.sh
site_memory_dir
trap site_end EXIT
site_arguments
site_start || site_fail "site does not start"
upstreams="u1 u2 u3"
address() { # UPSTREAM
	echo "127.0.0.1:$((SITE_PORT + 70 + ${1#u}))"
}
run_upstream() { # UPSTREAM
	site_spawn "$1" "$BUILD/bin/upstream" --listen "$(address "$1")" $controls \
		--team guild --service gigdesk --name "$1" --zone joburg-a --slots 8 \
		--service-ms 300 --ledger "$SITE_DIR/$1.ledger" --ledger-starts
}
mode() {
	for u in $upstreams; do
		curl -sf -m 2 -X PUT -d "$1" "http://$(address "$u")/-/mode" >/dev/null ||
			site_fail "$u does not take mode $1"
	done
}
call() { # KEY: prints the status, the headers are in $SITE_DIR/answer.KEY
	curl -s -m 15 -o /dev/null -D "$SITE_DIR/answer.$1" -w '%{http_code}' \
		-H 'Carawayfront-Deadline-Ms: 12000' -H "Idempotency-Key: $1" \
		"http://127.0.0.1:$(site_port callers e1)/guild/gigdesk/$1"
}
starts() { # KEY: prints how often it was started, by all upstreams
	cat "$SITE_DIR"/u?.ledger | grep -c " GET /$1 .* start\$"
}
runs_at() { # UPSTREAM KEY
	grep -q " GET /$2 .* start\$" "$SITE_DIR/$1.ledger"
}
known() {
	curl -sf -m 2 "http://127.0.0.1:$(site_port control e1)/v1/upstreams" |
		grep -o '"usable": *true' | wc -l | grep -qx 3
}
for u in $upstreams; do
	run_upstream "$u"
done
site_serves guild/gigdesk
site_until 10 known || site_fail "not all upstreams are known"

# Connections are closed in series.
for round in 1 2 3; do
	mode close=1
	status=$(call reset)
	[ "$status" = 502 ] || site_fail "closed without an answer, status $status"
	mode none
	status=$(call reset)
	[ "$status" = 200 ] ||
		site_fail "resend in round $round: $status, $(cat "$SITE_DIR/answer.reset")"
done

# The request ends two upstreams, which are back soon.
ended=
call deadly >"$SITE_DIR/status" &
caller=$!
for n in 1 2; do
	for try in $(seq 100); do
		for u in $upstreams; do
			case $ended in *$u*) continue ;; esac
			runs_at "$u" deadly || continue
			site_signal "$u" KILL
			site_wait "$u"
			ended="$ended $u"
			break 2
		done
		sleep 0.02
	done
done
[ "$(echo $ended | wc -w)" = 2 ] || site_fail "ended only:$ended"
for u in $ended; do
	run_upstream "$u"
done
wait $caller
grep -qi '^Carawayfront-Reason: upstreams-lost' "$SITE_DIR/answer.deadly" ||
	site_fail "ended$ended: $(cat "$SITE_DIR/answer.deadly")"
status=$(call deadly)
[ "$status" = 502 ] || site_fail "resend after two upstreams ended: $status"
[ "$(starts deadly)" = 2 ] || site_fail "started $(starts deadly) times"
echo "site resets: ok"
