#!/bin/sh
# Guards against a job that runs although its cancel was answered before its submission
# came, also under a leader that has only a snapshot and the log.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SEED=2
SECONDS=10
PORT=${SITE_PORT:-27500}
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

job='{"spec":"work","steps":[{"count":2,"cpu":500,"mem_mb":100,"estimate_ms":300}]}'
call() { # METHOD JOB [BODY]: prints the status
	curl -s -m 3 -o "$D/body" -w '%{http_code}' -X "$1" -H 'Host: h.example' \
		-H 'X-Carawayfront-Deadline-Ms: 3000' ${3:+-d "$3"} \
		"http://127.0.2.1:$CALLERS/q/000000000000000$2"
}
answers() { # STATUS METHOD JOB [BODY]
	status=$1
	shift
	[ "$(call "$@")" = "$status" ]
}
is_in() { # STATE JOB
	call GET "$2" >/dev/null
	grep -q "\"state\":\"$1\"" "$D/body"
}
leader() { # the controller that began to lead last
	grep -h 'event=leading-started' "$D"/c*.log | sort | tail -n 1 |
		sed 's/.*process=\(c[0-9]*\).*/\1/'
}

soak_start || exit 1
soak_until 10 answers 200 POST 1 "$job" || soak_fail "no job is accepted"
soak_until 10 is_in completed 1 || soak_fail "job 1 does not complete"
for id in 2 3; do
	soak_until 10 answers 410 DELETE $id || soak_fail "job $id cannot be cancelled"
	answers 410 GET $id || soak_fail "job $id is shown, and nobody has submitted it"
done
soak_until 10 answers 200 POST 2 "$job" || soak_fail "the submission of job 2 has no answer"
led=$(leader)
soak_kill "$led"
soak_run "$led"
soak_until 10 answers 200 POST 3 "$job" || soak_fail "the submission of job 3 has no answer"
soak_until 10 answers 200 POST 4 "$job" || soak_fail "job 4 is not accepted"
soak_until 10 is_in completed 4 || soak_fail "job 4 does not complete"
for id in 2 3; do
	is_in cancelled $id || soak_fail "job $id is not cancelled: $(cat "$D/body")"
	grep -q "^start 000000000000000$id" "$D/ledger" && soak_fail "job $id runs"
done
soak_stop_all
[ -e "$D/failed" ] || echo "site cancel: ok"
[ ! -e "$D/failed" ]
