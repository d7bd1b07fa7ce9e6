#!/bin/bash
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
CASE_NUMBER=10
. "$(dirname "$0")/../lib-2.sh"
VISIBLE_MS=3000
ID=0000000000000001
OTHER=0000000000000002
[ "$TROUBLE" = 1 ] && OTHER=$ID

start_site
# Two teams have a queue each.
both=$(conf 2 | sed 's/],"services"/,{"name":"r-2","host":"h.example","path_prefix":"\/w\/","type":"unsafe","timeout_ms":3000,"slo_ms":1000,"priority":0,"service":"svc","attempts":3,"stretch":2.0}&/')
note "config $both"
control POST /api/config/replace "$both" || give_up "version 2 has no ack: $answer"
sleep 2
submit $ID '{"spec":"work=4000 team=a","steps":[{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":4000}]}' ||
	give_up "the first submission was not accepted: $answer"
call POST /w/$OTHER '{"spec":"work=1000 team=b","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":1000}]}'
posted=$status
echo "POST of the second team: $posted"
sleep $((VISIBLE_MS / 1000 + 2))
call GET /w/$OTHER
echo "GET of the second team: $answer"
early=$status
sleep 8
call GET /w/$OTHER
echo "GET of the second team, 8 s later: $answer"
starts=$(grep -c " start $OTHER.0.0.0 .*" "$RECORD")
echo "starts under this id: $starts"
verdict=0
case $posted in
2??)
	if [ "$early" = 410 ] || [ "$status" = 410 ]; then
		echo "LOST broken: a GET of an accepted submission that nobody cancelled is answered 410"
		verdict=1
	fi
	;;
esac
