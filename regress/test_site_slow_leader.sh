#!/bin/sh
# Guards against an entry process that takes a slow leader for lost: its configuration
# becomes stale and it refuses requests although one process leads all the time.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SITE_DIR=$(mktemp -d)
SITE_PORT=${SITE_PORT:-25500}
SITE_PROXIED=1
. examples/site.sh
trap site_end EXIT
site_arguments
site_start || site_fail "site does not start"
site_spawn upstream "$BUILD/bin/upstream" --listen 127.0.0.1:$((SITE_PORT + 70)) $controls \
	--team guild --service gigdesk --name gig --zone joburg-a --slots 8
site_serves guild/gigdesk
# Every call of e1 takes 0.4 s longer.
for s in $SITE_STATE; do
	site_fault delay e1-$s 200
done
log_count() { # EVENT FILE...: lines with that event
	event=$1
	shift
	cat "$@" | grep -c "event=$event"
}
# book KEY: prints what e1 says of the run, and the reason of a refusal.
book() {
	curl -s -m 8 -o "$SITE_DIR/body" -D - -H "Idempotency-Key: $1" \
		-H 'Carawayfront-Deadline-Ms: 5000' --data hall=3 \
		"http://127.0.0.1:$(site_port callers e1)/guild/gigdesk/book/$1" |
		tr -d '\r' |
		awk 'tolower($1) ~ /^carawayfront-(run|reason):/ { printf "%s ", $2 }'
}
# attempt NUMBER: sends requests for three times the age at which a configuration is
# stale; prints what went wrong.
attempt() {
	stale=$(log_count configuration-stale "$SITE_DIR/e1.log")
	for n in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20; do
		run=$(book "slow-$1-$n")
		[ "$run" = "done " ] || echo "request $n: $run"
	done
	[ "$(log_count configuration-stale "$SITE_DIR/e1.log")" -eq "$stale" ] ||
		echo "the configuration became stale"
}
# With a change of the leader, say after a sync of a second, an attempt proves nothing.
attempts=0
while :; do
	attempts=$((attempts + 1))
	site_until 20 site_healthy e1 || site_fail "e1 is not healthy"
	changes=$(log_count role-changed "$SITE_DIR"/s?.log)
	attempt $attempts >"$SITE_DIR/wrong"
	[ "$(log_count role-changed "$SITE_DIR"/s?.log)" -eq "$changes" ] && break
	[ $attempts -lt 8 ] || site_fail "the leader changed in each of $attempts attempts"
done
[ -s "$SITE_DIR/wrong" ] && site_fail "attempt $attempts: $(cat "$SITE_DIR/wrong")"
echo "site slow leader: ok, attempt $attempts"
