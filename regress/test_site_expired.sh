#!/bin/sh
# Guards against a stop that waits for a queued request which its deadline has ended.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SITE_PORT=${SITE_PORT:-29700}
SITE_STATE=s1
SITE_ENTRIES=e1
. examples/site.sh
site_memory_dir
trap site_end EXIT
site_arguments
site_start || site_fail "site does not start"
site_spawn u1 "$BUILD/bin/upstream" --listen 127.0.0.1:$((SITE_PORT + 70)) --count 1 \
	$controls --team pinecrest --service counter-desk --name u1 --zone se-athens \
	--slots 1 --service-ms 1500
site_serves pinecrest/counter-desk
callers=
for n in 1 2 3; do
	curl -s -m 10 -o "$SITE_DIR/body.$n" -w '%{http_code}' -H 'Carawayfront-Deadline-Ms: 1000' \
		"http://127.0.0.1:$(site_port callers e1)/pinecrest/counter-desk/$n" >"$SITE_DIR/code.$n" &
	callers="$callers $!"
done
for c in $callers; do wait "$c"; done
grep -q 504 "$SITE_DIR"/code.? || site_fail "no deadline passed: $(cat "$SITE_DIR"/code.?)"
site_signal e1 TERM
site_wait e1 || site_fail "e1 ended with an error"
grep drain-timeout "$SITE_DIR/e1.log" && site_fail "the drain ran into its bound"
echo "site expired: ok"
