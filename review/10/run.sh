#!/bin/bash
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
CASE_NUMBER=10
. "$(dirname "$0")/../lib-2.sh"
ID=5c0e7a21d94b3801
CRASH_MS=4500 # how long an executor is down, as in the site file
CRASHES=4     # one after another, each of the executor that runs the task
WORKED_S=8    # how long the task has worked by then

start_site
submit $ID '{"spec":"work=12000 cpu=2000","steps":[{"count":1,"cpu":2000,"mem_mb":100,"estimate_ms":12000}]}' ||
	give_up "the submission was not accepted: $answer"
begun=$(now_ms)
crashes=0
starts=0
while [ $(($(now_ms) - begun)) -lt 90000 ]; do
	state_of $ID
	case $state in completed | failed | cancelled) break ;; esac
	n=$(grep -c " start $ID.0.0.0 " "$RECORD")
	if [ "$n" -gt $starts ] && [ $crashes -lt $CRASHES ] && [ "$TROUBLE" = 1 ]; then
		starts=$n
		sleep $WORKED_S
		order crash "$(sed -n "s/^[0-9]* start $ID.0.0.0 $n i-0\([0-9]\).*/\1/p" "$RECORD" | tail -n 1)" $CRASH_MS
		crashes=$((crashes + 1))
	fi
	sleep 0.5
done
echo "the submission is shown as $state"
# LOST: it is shown as failed without cause (only ends failed count as attempts).
awk -v state="$state" '
$2 == "start" { starts++ }
$2 == "gone" { gone++ }
$2 == "end" && $6 == "failed" { failed++ }
END {
	printf "%d runs started, %d gone with their executor, %d ended failed; attempts 3\n", \
		starts, gone, failed
	if (state != "failed" || failed) exit 0
	print "LOST broken: shown as failed without cause"
	exit 1
}' "$RECORD"
verdict=$?
