#!/bin/bash
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
CASE_NUMBER=8
. "$(dirname "$0")/../lib-2.sh"
ID=5c0e7a21d94b3901
LASTS=5c0e7a21d94b3902
VISIBLE_MS=3000 APPLY_MS=2000 CANCEL_MS=3000 STOP_MS=200

start_site
submit $ID '{"spec":"work=3000 cpu=1000","steps":[{"count":4,"cpu":1000,"mem_mb":100,"estimate_ms":3000},{"count":4,"cpu":1000,"mem_mb":100,"estimate_ms":3000,"depends_on":[0]}]}' ||
	give_up "the submission was not accepted: $answer"
submit $LASTS '{"spec":"lasts cpu=1000","steps":[{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":3000,"long_running":true}]}' ||
	give_up "the submission was not accepted: $answer"
sleep 1
# One version removes the route and adds one with another name at the same host and prefix;
# without trouble the next version changes only the time-out.
if [ "$TROUBLE" = 1 ]; then
	change=$(conf 2 r-9)
else
	change=$(conf 2 | sed 's/"timeout_ms":3000/"timeout_ms":2900/')
fi
note "config $change"
control POST /api/config/replace "$change" || give_up "version 2 has no ack: $answer"
note "config acknowledged"
acked=$(now_ms)
sleep 5 # more than VISIBLE_MS after the submissions and APPLY_MS after the config
broken=0
state_of $ID
echo "GET of the submission, 5 s after the change: $status $state"
[ "$status" = 410 ] && broken=1
while [ $(($(now_ms) - acked)) -lt 25000 ]; do
	state_of $ID
	[ "$state" = completed ] && break
	sleep 1
done
echo "25 s after the change: $status $state"
[ "$status" = 410 ] && broken=1
# The lasting one is cancelled; 2xx or 410 acknowledges that.
call DELETE "/q/$LASTS"
cancelled=$(now_ms)
echo "DELETE of the lasting submission: $status"
sleep $(((CANCEL_MS + STOP_MS) / 1000 + 4))
running=$(awk -v id=$LASTS '
index($3, id) == 1 && $2 == "start" { n[$3]++ }
index($3, id) == 1 && ($2 == "end" || $2 == "gone") { n[$3]-- }
END { for (t in n) s += n[t]; print s + 0 }' "$RECORD")
echo "its tasks at work $(($(now_ms) - cancelled)) ms after that: $running"
if [ $broken = 1 ]; then
	echo "LOST broken: a GET of an accepted submission that nobody cancelled is answered 410"
fi
case $status in
2?? | 410)
	[ "$running" -gt 0 ] && broken=1 &&
		echo "UNASKED broken: tasks run on after the cancelling was acknowledged"
	;;
esac
verdict=$broken
