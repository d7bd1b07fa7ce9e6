#!/bin/sh
# Guards against a disk that stalls and holds up more than the writes that need it: the
# leader's lease, the configuration, requests that write nothing, other processes.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SITE_DIR=$(mktemp -d -p "${SITE_DISK:-${TMPDIR:-/tmp}}")
SITE_PORT=${SITE_PORT:-26300}
SITE_DAEMON=$BUILD/bin/carawayfrontd-stall
. examples/site.sh
. regress/site_checks.sh
trap site_end EXIT
site_arguments
site_start || site_fail "site does not start"
site_spawn upstream "$BUILD/bin/upstream" --listen 127.0.0.1:$((SITE_PORT + 70)) $controls \
	--team guild --service gigdesk --name gig --zone joburg-a --slots 8 \
	--ledger "$SITE_DIR/upstream.ledger" --ledger-starts
site_serves guild/gigdesk
stall() { # NAME...: their disks stall until resume
	for s in "$@"; do : >"$SITE_DIR/$s.stall"; done
}
resume() {
	rm -f "$SITE_DIR"/*.stall
}
log_count() { # EVENT FILE...: lines with that event
	event=$1
	shift
	cat "$@" | grep -c "event=$event"
}
# book KEY: prints what e1 says of the run, and the reason of a refusal.
book() {
	curl -s -m 8 -o "$SITE_DIR/body" -D - -H "Idempotency-Key: $1" \
		-H 'Carawayfront-Deadline-Ms: 3000' --data hall=3 \
		"http://127.0.0.1:$(site_port callers e1)/guild/gigdesk/book/$1" |
		tr -d '\r' |
		awk 'tolower($1) ~ /^carawayfront-(run|reason):/ { printf "%s ", $2 }'
}
books() { # PREFIX COUNT: bookings one after the other, each must be done
	n=0
	while [ $n -lt "$2" ]; do
		n=$((n + 1))
		run=$(book "$1-$n")
		[ "$run" = "done " ] || site_fail "booking $1-$n: $run"
	done
}
runs() { # KEY
	grep -c "/book/$1 .* start$" "$SITE_DIR/upstream.ledger"
}
unchanged() { # WHAT: the leader and the configuration were there all the time
	[ "$(log_count role-changed "$SITE_DIR"/s?.log)" -eq "$changes" ] ||
		site_fail "the leader changed: $1"
	[ "$(log_count configuration-stale "$SITE_DIR"/e?.log)" -eq "$stale" ] ||
		site_fail "the configuration became stale: $1"
}
books before 3
changes=$(log_count role-changed "$SITE_DIR"/s?.log)
stale=$(log_count configuration-stale "$SITE_DIR"/e?.log)

# Every disk stalls for longer than the 3 s after which a configuration is stale. Requests
# without a key write nothing, so each is done; a booking that cannot be claimed has not run.
"$BUILD/bin/loadgen" $entries --team guild --service gigdesk --rate 50 --duration 7 \
	--post 0 --deadline-ms 3000 --timeout-ms 8000 --health-ms 100 --prefix load \
	--seed 4 --ledger "$SITE_DIR/caller.ledger" >"$SITE_DIR/load.json" &
load=$!
sleep 0.5
stall $SITE_STATE
run=$(book stalled)
case $run in not-run* | unknown*) ;; *) site_fail "booking on stalled disks: $run" ;; esac
[ "$(runs stalled)" -eq 0 ] || site_fail "a booking without a claim ran"
sleep 3
resume
wait $load
grep -vq ' done 200 ' "$SITE_DIR/caller.ledger" &&
	site_fail "not done: $(grep -v ' done 200 ' "$SITE_DIR/caller.ledger" | head -n 5)"
[ "$(wc -l <"$SITE_DIR/caller.ledger")" -ge 300 ] || site_fail "too few requests"
unchanged "all disks stalled"
books resumed 3
case $run in not-run*) [ "$(runs stalled)" -eq 0 ] || site_fail "it ran after not-run" ;; esac

# One disk stalls: of a voter that does not lead, then of the leader, which hands over.
leader=$(site_leader)
for s in $SITE_STATE; do
	[ "$s" = "$leader" ] || follower=$s
done
stall "$follower"
books follower 20
sleep 4
books follower-later 3
unchanged "the disk of $follower stalled"
resume
stall "$leader"
books leader 20
sleep 4
books leader-later 3
[ "$(log_count configuration-stale "$SITE_DIR"/e?.log)" -eq "$stale" ] ||
	site_fail "the configuration became stale: the leader's disk stalled"
now=$(site_leader)
[ -n "$now" ] && [ "$now" != "$leader" ] || site_fail "$leader leads on with a stalled disk"
resume
books after 3
site_signal upstream KILL # it would wait for entry processes that have ended
echo "site stalled disk: ok, $leader handed over to $now"
