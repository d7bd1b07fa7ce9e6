#!/bin/bash
# The only executor that has what some submissions need refuses all starts as unhealthy
# for 6.5 s. The submissions are accepted and none of their tasks starts, so the queue's
# number of waiting submissions has to count them.
. "$(dirname "$0")/../lib.sh"

N_EXECUTORS=8 # one of them is unhealthy: a share of 0.125
N_JOBS=20
VISIBLE_MS=3000

site_start
executor 1 --label b
for i in $(seq 2 $N_EXECUTORS); do executor "$i"; done
until_ok 10 executors_known $N_EXECUTORS || cannot_run "executors are not known"
sleep 1

if [ "$TROUBLE" != 0 ]; then
	kill -USR1 "$(pid_of x1)"
	say "executor x1 refuses starts"
fi
sick=$(now_ms)
job='{"spec":"ms=1000 cpu=1000 mem=500","steps":[{"count":1,"cpu":1000,"mem_mb":500,"estimate_ms":1000,"required_label":"b"}]}'
: >"$D/accepted"
for n in $(seq $N_JOBS); do
	submit "$n" "$job" && echo "$(job_id "$n") $(now_ms)" >>"$D/accepted"
done
[ "$(wc -l <"$D/accepted")" = $N_JOBS ] || cannot_run "not all jobs are accepted"
: >"$D/looks"
while [ "$(now_ms)" -lt $((sick + 6500)) ]; do
	for g in $(seq $N_GATEWAYS); do
		at=$(now_ms)
		answer=$(caller "$g" GET /q/)
		say "GET /q/ gateway $g: $answer"
		case $answer in
		200*waiting*) echo "$at $(now_ms) $g $(echo "$answer" | sed 's/.*"waiting":\([0-9]*\).*/\1/')" >>"$D/looks" ;;
		esac
	done
	sleep 0.2
done
[ "$TROUBLE" != 0 ] && kill -HUP "$(pid_of x1)" && say "executor x1 is sound again"
[ -s "$D/looks" ] || cannot_run "no count was given"
all_ended() {
	for n in $(seq $N_JOBS); do [ "$(state_of "$n")" = completed ] || return 1; done
}
until_ok 30 all_ended || say "not all jobs completed"

# MIXED: "waiting" is under half of the submissions that were accepted over visible_ms +
# 2 s before the request and have not begun when the answer is there.
awk -v old=$((VISIBLE_MS + 2000)) '
	FILENAME ~ /accepted$/ { accepted[$1] = $2; next }
	FILENAME ~ /ledger$/ { if ($2 == "start") { split($3, id, "."); if (!(id[1] in begun)) begun[id[1]] = $1 } next }
	{ n = 0
	  for (j in accepted) if (accepted[j] < $1 - old && (!(j in begun) || begun[j] > $2)) n++
	  if ($4 * 2 < n) print "at", $1, "gateway", $3, "gave waiting", $4, "of", n }' \
	"$D/accepted" "$D/ledger" "$D/looks" >"$D/breaks"
site_verdict "$D/breaks"
