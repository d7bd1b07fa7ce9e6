#!/bin/sh
# Guards against a process whose descriptors are used up: it needs some for files, and it
# must accept again once there are some, also at a port with a connection that stays.
set -u
cd "$(dirname "$0")/.."
DESCRIPTORS=700
CONNECTIONS=4096
. regress/site_crowd.sh
crowd_start
# 200 of the descriptors are for files.
MOST_CONNECTIONS=$((700 - 200 - ALLOWANCE_FDS))
"$BUILD/bin/crowd" --address "127.0.2.1:$HEALTH" --kind idle --count 1 --hold-ms 45000 >"$D/kept.log" 2>&1 &
echo $! >"$D/kept.pid"
ready() { [ "$(status "http://127.0.2.1:$HEALTH/api/ready")" = 200 ]; }
DURING=ready
for n in c1 g1; do
	crowd $n --kind idle --count 900 --hold-ms 4000
	check $n
done
until_ok 20 ready || fail "the health port does not accept again"
echo "crowd descriptors: $([ $bad -eq 0 ] && echo ok || echo failed)"
