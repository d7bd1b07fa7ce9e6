#!/bin/bash
# A planned replacement of one controller: an empty one comes at another address and has
# more than catch_up_s, then the old one gets SIGTERM and is removed. Two seconds later two
# other controllers lose their disks; they start again at their addresses after a second.
. "$(dirname "$0")/../lib.sh"

N_EXECUTORS=6
N_JOBS=4
CATCH_UP_MS=4000
RECOVERY_S=12
FINISH_S=14

site_start
for i in $(seq $N_EXECUTORS); do executor "$i"; done
until_ok 10 executors_known $N_EXECUTORS || cannot_run "executors are not known"
is_voter() { grep 'event=role-changed' "$D/c$1.log" | tail -n 1 | grep -q 'role=[14]'; }
for i in 1 2 3 4 5; do until_ok 10 is_voter "$i" || cannot_run "controller $i does not vote"; done
sleep 5 # they have had catch_up_s

job='{"spec":"lasts cpu=1000 mem=500","steps":[{"count":2,"cpu":1000,"mem_mb":500,"estimate_ms":1000,"long_running":true}]}'
for n in $(seq $N_JOBS); do
	submit "$n" "$job" || cannot_run "job $n is not accepted"
done
until_ok 5 control POST /api/config/replace "$(config 2)" || cannot_run "config 2 is not taken"
say "config 2 acknowledged"
start_controller() { # NUMBER: with an empty disk
	controller_settings "$1" false >"$D/c$1.yaml"
	rm -rf "$D/c$1.data"
	mkdir "$D/c$1.data"
	launch "c$1" "$BIN/carawayfrontd" -c "$D/c$1.yaml"
}
if [ "$TROUBLE" != 0 ]; then
	gone=1
	start_controller 6
	say "controller 6 starts"
	sleep $((CATCH_UP_MS / 1000 + 1))
	kill -TERM "$(pid_of "c$gone")"
	say "controller $gone gets SIGTERM and is removed"
	for _ in $(seq 60); do kill -0 "$(pid_of "c$gone")" 2>/dev/null || break; sleep 0.1; done
	rm "$D/c$gone.pid"
	say "controller $gone has ended"
	sleep 2
	lost=$(for i in 1 2 3 4 5; do [ $i = "$gone" ] || echo $i; done | tail -n 2)
	for i in $lost; do kill -KILL "$(pid_of "c$i")"; done
	say "controllers" $lost "lose their disks"
	sleep 1
	for i in $lost; do start_controller "$i"; done
	LIVE=$(for i in 1 2 3 4 5 6; do [ $i = "$gone" ] || echo $i; done)
	say "controllers" $lost "start again"
fi
sleep $RECOVERY_S

# CONFIG: read back, the config doesn't come. LOST: a submission gets no answer in time.
: >"$D/breaks"
until_ok $FINISH_S control GET /api/config/get ||
	echo "the config that was acknowledged cannot be read for $FINISH_S s: $answer" >>"$D/breaks"
say "config: $answer"
is_known() { # NUMBER: asks at each gateway
	local g
	for g in $(seq $N_GATEWAYS); do
		answer=$(caller "$g" GET "/q/$(job_id "$1")")
		say "GET $(job_id "$1") gateway $g: $answer"
		case $answer in 200*queued* | 200*running*) return 0 ;; esac
	done
	return 1
}
for n in $(seq $N_JOBS); do
	until_ok 4 is_known "$n" ||
		echo "job $(job_id "$n") was accepted and gets no answer: $answer" >>"$D/breaks"
done
site_verdict "$D/breaks"
