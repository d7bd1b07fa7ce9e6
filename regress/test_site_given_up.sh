#!/bin/sh
# Guards against a submission that a paused leader carries out after its sender gave it up.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SEED=2
SECONDS=10
PORT=${SITE_PORT:-27700}
GRACE_S=6
D=$(mktemp -d)
RPC=$PORT CONTROL=$((PORT + 1)) CALLERS=$((PORT + 2)) HEALTH=$((PORT + 3))
PROXY=127.0.9.1:$((PORT + 4))
N_CONTROLLERS=3
N_GATEWAYS=1
N_EXECUTORS=1
DAEMONS="c1 c2 c3 g1"
EXECUTORS=x1
. regress/soak_site.sh
trap soak_end EXIT

job='{"spec":"work","steps":[{"count":1,"cpu":500,"mem_mb":100,"estimate_ms":300}]}'
call() { # METHOD JOB DEADLINE_MS [BODY]: prints the status
	curl -s -m 3 -o "$D/body" -w '%{http_code}' -X "$1" -H 'Host: h.example' \
		-H "X-Carawayfront-Deadline-Ms: $3" ${4:+-d "$4"} \
		"http://127.0.2.1:$CALLERS/q/000000000000000$2"
}
answers() { # STATUS METHOD JOB [BODY]
	[ "$(call "$2" "$3" 3000 "${4:-}")" = "$1" ]
}
abandoned() { # prints how many requests of paused leaders were not carried out
	cat "$D"/c*.log | grep -c 'event=request-abandoned'
}
leader() { # the controller that began to lead last
	grep -h 'event=leading-started' "$D"/c*.log | sort | tail -n 1 |
		sed 's/.*process=\(c[0-9]*\).*/\1/'
}

soak_start || exit 1
soak_until 10 answers 200 POST 1 "$job" || soak_fail "no job is accepted"
# The pauses are shorter than an election takes, so that the leader leads on after most.
for id in 2 3 4 5 6 7 8 9; do
	[ "$(abandoned)" -ge 3 ] && break
	led=$(leader)
	kill -STOP "$(soak_pid "$led")"
	status=$(call POST $id 200 "$job")
	kill -CONT "$(soak_pid "$led")"
	sleep 1
	soak_until 10 answers 200 GET 1 || soak_fail "nobody leads after the pause"
	[ "$status" = 200 ] && continue # another controller leads already
	soak_until 5 answers 410 GET $id || soak_fail "job $id is known, answered with $status"
done
[ "$(abandoned)" -ge 1 ] || soak_fail "no request was given up"
soak_stop_all
[ -e "$D/failed" ] || echo "site given up: ok"
[ ! -e "$D/failed" ]
