#!/bin/sh
# Runs every test program and script of this folder, some side by side, and closes with
# one count. A test named in KNOWN-RED.txt (first word of a line that starts with
# "test:") is run and printed, but does not fail the run.
#
# The tests have ports and work directories of their own and mostly wait; JOBS of them
# (default 4) run at a time. Those of crowds of clients take much of the machine, so each
# runs alone, after the others.
set -u
BUILD=${BUILD:-build}
export BUILD
cd "$(dirname "$0")/.."
logdir=$BUILD/test-logs
mkdir -p "$logdir"

# Runs one test; its verdict goes into a file and to the terminal.
run_one() {
	name=$(basename "$1" .sh)
	name=$(basename "$name" .c)
	case $1 in *.sh) cmd="sh $1" ;; *) cmd=$BUILD/bin/$name ;; esac
	if timeout 900 $cmd >"$logdir/$name.log" 2>&1; then
		verdict=ok
	elif [ -f KNOWN-RED.txt ] && grep -q "^test: $name\b" KNOWN-RED.txt; then
		verdict=KNOWN-RED
	else
		verdict=FAILED
	fi
	echo "$verdict" >"$logdir/$name.result"
	printf '%-9s %s\n' "$verdict" "$name"
	[ "$verdict" = FAILED ] && tail -n 40 "$logdir/$name.log"
	return 0
}

if [ "${1:-}" = --one ]; then
	run_one "$2"
	exit 0
fi
rm -f "$logdir"/*.result
# The site scripts take longest, so they start first.
printf '%s\n' regress/test_site_*.sh regress/test_*.sh regress/test_*.c | awk '!seen[$0]++' |
	grep -v /test_site_crowd_ | xargs -P "${JOBS:-4}" -n 1 sh regress/run.sh --one
printf '%s\n' regress/test_site_crowd_*.sh | xargs -n 1 sh regress/run.sh --one
passed=$(cat "$logdir"/*.result | grep -c '^ok$')
failed=$(cat "$logdir"/*.result | grep -c '^FAILED$')
[ -f KNOWN-RED.txt ] && cat KNOWN-RED.txt
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
