#!/bin/bash
# A controller that does not lead stands still for 4 s. An operator's order to take a zone
# back is with it; the operator gets no answer and sends it again to another controller,
# then evacuates the zone once more. When the first controller goes on, the zone has to
# stay evacuated.
. "$(dirname "$0")/../lib.sh"

N_EXECUTORS=6
EVACUATE_MS=5000
FREEZE_MS=4000

site_start
for i in $(seq $N_EXECUTORS); do executor "$i"; done
until_ok 10 executors_known $N_EXECUTORS || cannot_run "executors are not known"
sleep 1
leads() { grep 'event=role-changed' "$D/c$1.log" | tail -n 1 | grep -q 'role=4'; }
for i in $(seq $N_CONTROLLERS); do leads "$i" && leader=$i; done
frozen=$((leader % N_CONTROLLERS + 1))
others=$(for i in $(seq $N_CONTROLLERS); do [ "$i" = $frozen ] || echo "$i"; done)
# An order as an operator sends it: to the next controller after a second without an
# answer.
order() { # VERB CONTROLLER...
	local verb=$1 i answer
	shift
	for i in "$@"; do
		answer=$("$BIN/review-client" POST "http://127.0.1.$i:$CONTROL/api/evacuate/z1/$verb" - 1000)
		say "operator: $verb z1 to controller $i: $answer"
		case $answer in 200*) return 0 ;; esac
	done
	return 1
}
order start $others || cannot_run "the zone is not evacuated"
if [ "$TROUBLE" != 0 ]; then
	kill -STOP "$(pid_of "c$frozen")"
	say "controller $frozen stands still"
fi
began=$(now_ms)
order finish $frozen $others || cannot_run "the zone is not taken back"
sleep 0.5
order start $others || cannot_run "the zone is not evacuated again"
acked=$(now_ms)
say "the second evacuation is acknowledged"
while [ "$(now_ms)" -lt $((began + FREEZE_MS)) ]; do sleep 0.05; done
kill -CONT "$(pid_of "c$frozen")"
say "controller $frozen goes on"
job='{"spec":"ms=500 cpu=1000 mem=500","steps":[{"count":12,"cpu":1000,"mem_mb":500,"estimate_ms":500}]}'
n=0
while [ "$(now_ms)" -lt $((acked + EVACUATE_MS + 8000)) ]; do
	n=$((n + 1))
	submit $n "$job" || cannot_run "job $n is not accepted"
	sleep 0.5
done

# EVAC: a start in the zone later than evacuate_ms after its evacuation was acknowledged
# and before it is taken back. Executors 1 and 4 are in z1.
awk -v from=$((acked + EVACUATE_MS)) '$2 == "start" && $1 > from && $5 ~ /^i-[14]-/ {
	print "started", $1 - from, "ms after evacuate_ms:", $0 }' "$D/ledger" >"$D/breaks"
site_verdict "$D/breaks"
