#!/bin/bash
# An executor is cut off for 4 s and runs on. More than 500 of its tasks end as done in
# that time; then it is back, well within its lease. No task may start again.
. "$(dirname "$0")/../lib.sh"

N_EXECUTORS=6 # one of them is cut off: a share of 0.167
N_JOBS=40
WIDTH=36

site_start
launch proxy "$BIN/faultproxy" --control "$PROXY" \
	--pair "x1=127.0.4.1:$EXEC=127.0.3.1:$EXEC" \
	$(for i in $(seq $N_CONTROLLERS); do echo "--pair c$i=127.0.5.$i:$CONTROL=127.0.1.$i:$CONTROL"; done)
proxied() { local i; for i in $(seq $N_CONTROLLERS); do printf ' --control 127.0.5.%s:%s' "$i" $CONTROL; done; }
launch x1 "$BIN/review-executor" --listen "127.0.3.1:$EXEC" --announce 127.0.4.1 \
	--service svc --zone z1 --label b --report-ms $REPORT_MS --ledger "$D/ledger" $(proxied)
for i in $(seq 2 $N_EXECUTORS); do executor "$i" --label a; done
until_ok 10 executors_known $N_EXECUTORS || cannot_run "executors are not known"
sleep 1

# Small tasks for the one kind of executor that has what they need.
step='"count":'$WIDTH',"cpu":20,"mem_mb":20,"estimate_ms":3500,"required_label":"b"'
for n in $(seq $N_JOBS); do
	submit "$n" '{"spec":"ms=3500 cpu=20 mem=20","steps":[{'"$step"'}]}' ||
		cannot_run "job $n is not accepted"
done
all_started() { [ "$(grep -c ' start ' "$D/ledger")" -ge $((N_JOBS * WIDTH)) ]; }
until_ok 10 all_started || say "not all started: $(grep -c ' start ' "$D/ledger")"
say "$(grep -c ' start ' "$D/ledger") starts, $(grep -c ' end ' "$D/ledger") ends"
if [ "$TROUBLE" != 0 ]; then
	for p in x1 $(for i in $(seq $N_CONTROLLERS); do echo "c$i"; done); do
		"$BIN/review-client" GET "http://$PROXY/cut/$p" - 1000 >/dev/null
	done
	say "executor x1 is cut off"
	sleep 4
	for p in x1 $(for i in $(seq $N_CONTROLLERS); do echo "c$i"; done); do
		"$BIN/review-client" GET "http://$PROXY/heal/$p" - 1000 >/dev/null
	done
	say "healed; $(grep -c ' end ' "$D/ledger") ends"
fi
all_ended() {
	for n in $(seq $N_JOBS); do [ "$(state_of "$n")" = completed ] || return 1; done
}
until_ok 30 all_ended || say "not all jobs completed"
sleep 2

# TWICE: a start after a run of the task has ended done, if that end is taken note of then
# or later: seen_upto reaches it. No lease lapses here between an end and that.
awk '$2 == "end" && $6 == "done" { done[$3] = done[$3] " " $4 }
     $2 == "start" && ($3 in done) {
         n = split(done[$3], r, " ")
         for (i = 1; i <= n; i++) again[$3 " run " r[i]] = $0
     }
     $2 == "seen" && $6 == "done" { seen[$3 " run " $4] = 1 }
     END { for (k in again) if (k in seen) print k, "had ended done, which was taken note of, but:", again[k] }' \
	"$D/ledger" | sort >"$D/breaks"
grep -q ' end .* lapsed$' "$D/ledger" && cannot_run "a lease has lapsed"
site_verdict "$D/breaks"
