#!/bin/sh
# Guards against a task that runs in two places, is lost or done twice, a worker with more
# than it has, and a start in an availability zone that is out, while the leader is killed
# and frozen, a worker VM is killed and another one is cut off.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SITE_PORT=${SITE_PORT:-24600}
. examples/site.sh
site_memory_dir # its bounds are not about the disk: test_site_stalled_disk.sh
. regress/site_checks.sh
trap site_end EXIT
site_arguments
site_start || site_fail "site does not start"
ledger=$SITE_DIR/worker.ledger
start_workers() { # NAME ZONE CONTROL...
	name=$1
	zone=$2
	shift 2
	site_spawn "$name" "$BUILD/bin/worker" --name "$name" --count 4 --rack "r$name" \
		--zone "$zone" --cpus 4 --memory-mb 8000 --ledger "$ledger" "$@"
}
# The workers of zone c reach the entry processes through a proxy.
cport=$((SITE_PORT + 80))
site_spawn wproxy "$BUILD/bin/faultproxy" --control 127.0.0.1:$((SITE_PORT + 89)) \
	--pair c1=127.0.0.1:$cport=127.0.0.1:$(site_port control e1) \
	--pair c2=127.0.0.1:$((cport + 1))=127.0.0.1:$(site_port control e2)
start_workers a joburg-a $controls
start_workers b midrand-b $controls
start_workers c pretoria-c --control 127.0.0.1:$cport --control 127.0.0.1:$((cport + 1))
submit() { # NAME TASKS SECONDS
	r=$(curl -s -m 10 -H "Authorization: Bearer $SITE_TOKEN" -H "Request-Id: submit-$1" \
		--data "{tasks: $2, command: 'sleep:$3', cpus: 1, memory_mb: 500, max_attempts: 20}" \
		"http://127.0.0.1:$(site_port control e1)/v1/jobs/guild?name=$1")
	case $r in *revision*) ;; *) site_fail "job $1 is not accepted: $r" ;; esac
}
job() {
	curl -s -m 5 -H "Authorization: Bearer $SITE_TOKEN" \
		"http://127.0.0.1:$(site_port control e2)/v1/jobs/guild/$1"
}
job_is_done() {
	job "$1" | grep -q "\"name\":\"$1\",\"state\":\"done\""
}
zone() { # STATE REVISION
	site_put e1 guild $SITE_TOKEN zone/joburg-a "$2" "state: $1"
}
submit one 120 1
sleep 2
leader=$(site_leader)
site_signal "$leader" KILL
sleep 2
site_run "$leader"
submit two 80 0.5
site_signal b KILL
ledger_killed "$ledger" b-
sleep 2
start_workers b midrand-b $controls
leader=$(site_leader)
site_signal "$leader" STOP
sleep 4
site_signal "$leader" CONT
# Long tasks, so that those on the workers that are cut off run when their lease ends.
submit long 40 8
sleep 1.5
curl -s "http://127.0.0.1:$((SITE_PORT + 89))/cut/all" >/dev/null
sleep 10
curl -s "http://127.0.0.1:$((SITE_PORT + 89))/heal/all" >/dev/null
r=$(zone out 0)
out_us=$(date +%s%6N)
case $r in *error* | "") site_fail "zone is not taken out: $r" ;; esac
zone_revision=$(echo "$r" | sed -n 's/.*"revision":\([0-9]*\).*/\1/p')
submit three 300 0.5
sleep 5
in_us=$(date +%s%6N)
r=$(zone in "$zone_revision")
case $r in *error* | "") site_fail "zone is not taken in: $r" ;; esac
for j in one two long three; do
	site_until 60 job_is_done $j || site_fail "job $j is not done: $(job $j | cut -c1-400)"
done
check_tasks "$ledger" || site_fail "task ledger"
awk -v from=$((out_us + 2000000)) -v to="$in_us" '
	$5 == "start" && $2 ~ /^a-/ && $1 > from && $1 < to { print "started in a zone that is out: " $0; bad = 1 }
	END { exit bad }' "$ledger" || site_fail "start in a zone that is out"
# A planned stop while workers poll and their polls wait for a leader.
for s in $SITE_STATE; do
	site_signal $s STOP
done
sleep 0.3
for e in $SITE_ENTRIES; do
	site_signal $e TERM
done
for e in $SITE_ENTRIES; do
	site_wait $e || site_fail "$e ended with status $?"
done
for s in $SITE_STATE; do
	site_signal $s CONT
done
echo "site tasks: ok"
