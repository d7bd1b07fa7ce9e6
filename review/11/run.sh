#!/bin/sh
# Two machines of the core (of five) are lost at a time, as `fault_tolerance` allows: c4 loses
# power for 3.5 s, and c5 is replaced by an empty one. Then, more than `catch_up_s` (4 s) after
# c4 is back and the successor has started, c2 and c3 are replaced too. LOST: what was accepted
# has to be known and answered.
HERE=$(cd "$(dirname "$0")" && pwd)
TROUBLE=${TROUBLE:-1}
. "$HERE/../standins-3/site.sh"

ID=11c0ffee00000011
start_site 3
for i in 1 2 3 4; do executor "e$i" $((10 + i)) --label a --label "r$i"; done
for i in 1 2 3 4; do until_ok 10 is_acked "e$i" || cannot "e$i is not acknowledged"; done
submit /q/$ID '{"spec":"work=500","steps":[{"count":2,"cpu":1000,"mem_mb":512,"estimate_ms":500}]}' ||
	cannot "the submission is not accepted"
is_completed() { [ "$(state /q/$ID)" = completed ]; }
until_ok 20 is_completed || cannot "the submission is not completed"
sleep 3
# The two that are lost first are followers; the rest is lost in any order.
l=$(leader)
order=$(for c in c1 c2 c3 c4 c5; do [ "$c" = "$l" ] || echo "$c"; done)
set -- $order
back=$1 first=$2 second=$3 third=$4
note "leader $l; $back comes back; $first, $second, $third are replaced"
replace() { # NAME NEW HOST: NAME is gone for good, an empty one starts 1 s later
	crash "$1"
	rm "$D/$1.pid"
	(
		sleep 1
		settings "$2" controller "$NET.$3" false >"$D/$2.yaml"
		mkdir -p "$D/$2.data"
		cd "$ROOT" && exec "$BIN" -c "$D/$2.yaml" >>"$D/$2.log" 2>&1
	) &
	echo $! >"$D/$2.pid"
	note "$2 replaces $1"
}
if [ "$TROUBLE" != 0 ]; then
	crash "$back"
	sleep 0.2
	replace "$first" c6 31
	sleep 3.3
	run "$back"
	note "$back is back"
	sleep 4.2
	replace "$second" c7 32
	sleep 0.3
	replace "$third" c8 33
fi
sleep 20
answer=
is_known() { answer=$(state /q/$ID); [ "$answer" = completed ]; }
until_ok 20 is_known && echo "held: $(state /q/$ID)" && note "state completed" && exit 0
note "GET for 20 s, from 20 s after the last loss on: last answer $answer"
for i in 1 2 3 4 5 31 32 33; do
	note "config/get at $NET.$i: $(call GET "http://$NET.$i:$CONTROL/api/config/get" -m 1000 | cut -c1-60)"
done
echo "broken: the submission is not known any more ($answer)"
exit 1
