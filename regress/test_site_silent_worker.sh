#!/bin/sh
# Guards against a job that is given up, or that waits on, since its workers were silent
# one after another and then returned as they were, beside a restart of the leader.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SITE_DIR=$(mktemp -d)
SITE_PORT=${SITE_PORT:-29900}
SITE_STATE="s1"
SITE_ENTRIES="e1"
. examples/site.sh
trap site_end EXIT
site_arguments
site_start || site_fail "site does not start"
workers="a b c"
for w in $workers; do
	site_spawn "$w" "$BUILD/bin/worker" --name "$w" --rack "r$w" --zone joburg-a --cpus 4 \
		--memory-mb 8000 --ledger "$SITE_DIR/ledger" $controls
done
sleep 2
r=$(curl -s -m 10 -H "Authorization: Bearer $SITE_TOKEN" -H "Request-Id: submit" \
	--data "{tasks: 1, command: 'sleep:15', cpus: 1, memory_mb: 500}" \
	"http://127.0.0.1:$(site_port control e1)/v1/jobs/guild?name=calm")
case $r in *revision*) ;; *) site_fail "the job is not accepted: $r" ;; esac
job() {
	curl -s -m 5 -H "Authorization: Bearer $SITE_TOKEN" \
		"http://127.0.0.1:$(site_port control e1)/v1/jobs/guild/calm"
}
runs_on() { # WORKER
	job | grep -q '"state":"running","attempt":[0-9]*,"worker":"'"$1"'"'
}
runs() {
	worker=
	for w in $workers; do
		runs_on "$w" && worker=$w
	done
	[ "$worker" ]
}
silences() { # COUNT
	grep -q "event=worker-lost-under-task .*losses=0 silent=$1" "$SITE_DIR/s1.log"
}
is_done() {
	job | grep -q '"name":"calm","state":"done"'
}
for n in 1 2 3; do
	site_until 30 runs || site_fail "the task does not run: $(job)"
	site_signal "$worker" STOP
	site_until 15 silences $n || site_fail "silence $n is not recorded: $(job)"
done
# Longer than the wait for the return of the third worker.
sleep 35
job | grep -q '"name":"calm","state":"failed"' && site_fail "the job is given up: $(job)"
site_signal s1 KILL
site_wait s1
site_run s1
for w in $workers; do
	site_signal "$w" CONT
done
site_until 15 runs || site_fail "the task does not start again: $(job)"
site_until 40 is_done || site_fail "the job is not done: $(job)"
echo "site silent worker: ok"
