#!/bin/sh
# Guards against a soak that blames a process for a late watcher or passes one that stops badly.
set -u
cd "$(dirname "$0")/.."
D=$(mktemp -d)
SEED=1 GRACE_S=1 N_CONTROLLERS=1 N_GATEWAYS=1 N_EXECUTORS=1
. regress/soak_site.sh
trap soak_end EXIT
bad=0
# expect WHAT NAME PATTERN [STYLE]: stops the process; an empty pattern stands for no failure
expect() {
	rm -f "$D/failed"
	soak_term "$2" ${4:+"$4"}
	got=$(cat "$D/failed" 2>/dev/null)
	rm -f "$D/failed"
	if [ -z "$3" ]; then
		[ -z "$got" ] || bad=1
	else
		echo "$got" | grep -q "$3" || bad=1
	fi
	[ $bad -eq 0 ] || { echo "$1: got '$got', expected '$3'" && exit 1; }
}
run() { # NAME HANDLER: a process that has set its handler
	soak_spawn "$1" sh -c "trap '$2' TERM; touch '$D/$1.ready'; while :; do sleep 0.05; done"
	soak_until 10 [ -e "$D/$1.ready" ] || exit 1
}
run p1 'exit 0'
expect 'an end in time' p1 ''
run p2 'exit 3'
expect 'an error' p2 'stopped with status 3'
run p3 'trap - TERM; kill $$'
expect 'a signal that is handled' p3 'stopped with status 143'
run p4 ':'
expect 'no end' p4 'did not stop within 1 s: [DRS] ('
soak_spawn p5 sleep 100
expect 'a signal before its handler' p5 ''
run p6 'exit 0'
watcher=$(sed -n 's/^PPid:[^0-9]*//p' "/proc/$(soak_pid p6)/status")
kill -STOP "$watcher"
(sleep 2.5 && kill -CONT "$watcher") &
expect 'a late watcher' p6 ''
run p7 ':'
expect 'a kill during a stop' p7 '' kill
run p8 'sleep 0.9; exit 0'
expect 'a pause during a stop' p8 '' pause
# It stops 0.9 s after the newest SIGTERM.
soak_spawn p9 sh -c "trap 'n=0' TERM; touch '$D/p9.ready'; n=-99
	while [ \$n -lt 18 ]; do sleep 0.05; n=\$((n + 1)); [ \$n -gt -1 ] || n=-99; done"
soak_until 10 [ -e "$D/p9.ready" ] || exit 1
expect 'a stop that begins anew' p9 'did not stop within 1 s (again)' again
run p10 'exit 3'
expect 'an error with more signals' p10 'stopped with status 3' again
echo "soak term: ok"
