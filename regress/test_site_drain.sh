#!/bin/sh
# Guards against a planned stop that cuts or refuses a request: each entry process, an
# upstream process and each state process is stopped and started again under load, and
# every request must be done.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SITE_PORT=${SITE_PORT:-24200}
SITE_ENTRIES="e1 e2 e3"
. examples/site.sh
site_memory_dir # its bounds are not about the disk: test_site_stalled_disk.sh
. regress/site_checks.sh
trap site_end EXIT
site_arguments
site_start || site_fail "site does not start"
start_upstream() { # NUMBER
	site_spawn "u$1" "$BUILD/bin/upstream" --listen 127.0.0.1:$((SITE_PORT + 70 + 4 * $1)) \
		--count 4 $controls --team pinecrest --service counter-desk --name "u$1" \
		--zone se-athens --slots 8 --service-ms exp:250 --seed "$1" \
		--ledger "$SITE_DIR/upstream.ledger" --ledger-starts
}
start_upstream 1
start_upstream 2
site_serves pinecrest/counter-desk
"$BUILD/bin/loadgen" $entries --team pinecrest --service counter-desk --rate 100 \
	--duration 60 --post 0.5 --body 200 --answer 1000 --deadline-ms 8000 \
	--timeout-ms 12000 --health-ms 100 --prefix load --seed 3 \
	--ledger "$SITE_DIR/caller.ledger" >"$SITE_DIR/load.json" &
load=$!
for e in $SITE_ENTRIES; do
	sleep 1
	site_signal $e TERM
	site_wait $e || site_fail "$e ended with an error"
	site_run $e
	site_until 10 site_healthy $e || site_fail "$e does not come back"
done
sleep 0.5
site_signal u1 TERM
site_wait u1 || site_fail "upstream ended with an error"
start_upstream 1
follows() { # NAME LINES: it has found the leader, or leads, since so many lines of its log
	tail -n +$(($2 + 1)) "$SITE_DIR/$1.log" |
		grep -Eq 'role-changed role=(follower|leader) epoch=[0-9]+ leader=s'
}
for s in $SITE_STATE; do
	sleep 0.5
	site_signal $s TERM
	site_wait $s || site_fail "$s ended with an error"
	logged=$(wc -l <"$SITE_DIR/$s.log")
	site_run $s
	# Two of three that are away at a time leave no quorum.
	site_until 20 follows $s "$logged" || site_fail "$s does not come back"
done
kill -0 $load || site_fail "the load ended before the last stop"
sleep 0.5
kill -TERM $load
wait $load
check_requests "$SITE_DIR/caller.ledger" "$SITE_DIR/upstream.ledger" ||
	site_fail "ledgers disagree"
grep -vq ' done 200 ' "$SITE_DIR/caller.ledger" && cat "$SITE_DIR/load.json" &&
	site_fail "not done: $(grep -v ' done 200 ' "$SITE_DIR/caller.ledger" | head -n 5)"
grep -q drain-timeout "$SITE_DIR"/e?.log && site_fail "a drain ran into its bound"
echo "site drain: ok"
