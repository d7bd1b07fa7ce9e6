#!/bin/sh
# Guards against executors that are lost or doubled when a worker, a zone or the leader
# goes, a service that does not follow its document, a job that fails without a reason, and
# an impossible job that waits. SERVICES_MIN executors of 12 must run all the time while
# the zone leaves and returns.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SITE_PORT=${SITE_PORT:-25200}
SERVICES_MIN=${SERVICES_MIN:-12}
. examples/site.sh
site_memory_dir # its bounds are not about the disk: test_site_stalled_disk.sh
. regress/site_checks.sh
trap site_end EXIT
site_arguments
site_start || site_fail "site does not start"
ledger=$SITE_DIR/worker.ledger
start_workers() { # NAME ZONE COUNT
	site_spawn "$1" "$BUILD/bin/worker" --name "$1" --count "$3" --rack "r$1" --zone "$2" \
		--cpus 4 --memory-mb 8000 --ledger "$ledger" $controls
}
start_workers a joburg-a 4
start_workers b midrand-b 4
start_workers c pretoria-c 3
start_workers d pretoria-c 1
# running [PREFIX]: executors that run now, on workers with the prefix.
running() {
	sort -n "$ledger" | awk -v p="${1:-}" '
		$3 !~ /service:desk/ && $5 != "killed" { next }
		$5 == "start" { on[$3 " " $4] = $2 }
		$5 == "end" { delete on[$3 " " $4] }
		$5 == "killed" { for (t in on) if (index(on[t], $2) == 1) delete on[t] }
		END { for (t in on) if (index(on[t], p) == 1) n++; print n + 0 }'
}
# least FROM TO: smallest number of executors that ran at once, by the ledger.
least() {
	sort -n "$ledger" | awk -v from="$1" -v to="$2" '
		$1 > from && !any { any = 1; least = n }
		$1 > to { exit }
		$5 == "start" && $3 ~ /service:desk/ { n++; on[$3 " " $4] = $2 }
		$5 == "end" && (($3 " " $4) in on) { n--; delete on[$3 " " $4] }
		$5 == "killed" {
			for (t in on) if (index(on[t], $2) == 1) { n--; delete on[t] }
		}
		any && n < least { least = n }
		END { print any ? least : n }'
}
runs() { # NUMBER [PREFIX]
	[ "$(running "${2:-}")" -eq "$1" ]
}
settled() { # NUMBER: it stays for two seconds
	runs "$1" && sleep 2 && runs "$1"
}
# An end that the store never takes would stay among the waiting tasks.
nothing_waits() {
	curl -s -m 5 "http://127.0.0.1:$(site_port control e1)/v1/workers" |
		grep -q '"tasks_waiting":0'
}
revision=0
service() { # EXECUTORS
	r=$(site_put e1 guild $SITE_TOKEN service/desk "$revision" \
		"{slots: 8, executors: $1, cpus: 2, memory_mb: 1000, command: forever}")
	case $r in *error* | "") site_fail "service is not accepted: $r" ;; esac
	revision=$(echo "$r" | sed -n 's/.*"revision":\([0-9]*\).*/\1/p')
}
zone() { # STATE REVISION
	r=$(site_put e1 guild $SITE_TOKEN zone/joburg-a "$2" "state: $1")
	case $r in *error* | "") site_fail "zone is not $1: $r" ;; esac
	zone_revision=$(echo "$r" | sed -n 's/.*"revision":\([0-9]*\).*/\1/p')
}
job() {
	curl -s -m 5 -H "Authorization: Bearer $SITE_TOKEN" \
		"http://127.0.0.1:$(site_port control e2)/v1/jobs/guild/$1"
}
submit() { # NAME FIELDS
	r=$(curl -s -m 10 -H "Authorization: Bearer $SITE_TOKEN" -H "Request-Id: submit-$1" \
		--data "{$2}" "http://127.0.0.1:$(site_port control e1)/v1/jobs/guild?name=$1")
	case $r in *revision*) ;; *) site_fail "job $1 is not accepted: $r" ;; esac
}
job_ended() { # NAME STATE REASON
	r=$(job "$1")
	case $r in *"\"state\":\"$2\""*"$3"* | *"$3"*"\"state\":\"$2\""*) ;; *) return 1 ;; esac
}
service 12
site_until 30 settled 12 || site_fail "$(running) of 12 executors run"

# The worker's lease of 6 s must end before its executors start elsewhere.
lost=$(running d)
site_signal d KILL
ledger_killed "$ledger" d
killed_us=$(date +%s%6N)
site_until 30 settled 12 || site_fail "$(running) of 12 executors run after a worker was killed"
# An executor keeps its number there. A new number is that of a replacement, with which a
# live worker's executor moves to another zone; it may start at any time.
sort -n "$ledger" | awk -v t=$((killed_us + 5500000)) -v k="$killed_us" '
	$5 == "start" && $1 <= k && $2 == "d" { lost[$3] = 1 }
	$5 == "end" && $1 <= k && $2 == "d" { delete lost[$3] }
	$5 == "start" && $1 > k && $1 < t && ($3 in lost) {
		print "started before the lease ended: " $0
		bad = 1
	}
	END { for (e in lost) n++; exit bad || !n }' || site_fail "executor of the killed worker"

out_us=$(date +%s%6N)
leader=$(site_leader)
before=$(running a-)
zone out 0
# The middle of the replacement: the first executors have left.
moving() {
	[ "$(running a-)" -lt "$before" ]
}
site_until 10 moving || site_fail "no executor leaves the zone"
site_signal "$leader" KILL
moved=$((before - $(running a-)))
sleep 1
site_run "$leader"
site_until 60 runs 0 a- || site_fail "$(running a-) executors run in the zone that is out"
site_until 30 settled 12 || site_fail "$(running) of 12 executors run after the zone left"
in_us=$(date +%s%6N)
zone in "$zone_revision"
sleep 3
settled 12 || site_fail "$(running) of 12 executors run after the zone returned"
min=$(least "$out_us" "$(date +%s%6N)")
[ "$min" -ge "$SERVICES_MIN" ] || site_fail "only $min executors ran while the zone was out"
awk -v from=$((out_us + 2000000)) -v to="$in_us" '
	$5 == "start" && $2 ~ /^a-/ && $1 > from && $1 < to { print "started in a zone that is out: " $0; bad = 1 }
	END { exit bad }' "$ledger" || site_fail "start in a zone that is out"

service 5
site_until 30 settled 5 || site_fail "$(running) executors run, 5 are wanted"
service 14
site_until 30 settled 14 || site_fail "$(running) executors run, 14 are wanted"

submit fails "tasks: 4, command: 'fail:0.1', cpus: 1, memory_mb: 100, max_attempts: 3"
site_until 40 job_ended fails failed "last with exit code" ||
	site_fail "job that fails: $(job fails | cut -c1-400)"
submit large "tasks: 2, command: 'sleep:1', cpus: 64, memory_mb: 100"
site_until 3 job_ended large rejected "larger than every worker" ||
	site_fail "job that is too large: $(job large | cut -c1-400)"
r=$(site_put e1 guild $SITE_TOKEN quota/all 0 "{memory_mb: 30000}")
case $r in *error* | "") site_fail "quota is not accepted: $r" ;; esac
submit quota "tasks: 2, command: 'sleep:1', cpus: 1, memory_mb: 31000"
site_until 3 job_ended quota rejected "exceeds the quota" ||
	site_fail "job over the quota: $(job quota | cut -c1-400)"
settled 14 || site_fail "$(running) of 14 executors run at the end"
site_until 5 nothing_waits || site_fail "tasks wait at the end"
check_tasks "$ledger" || site_fail "task ledger"
echo "site services: ok, $lost executors lost with a worker, least $min of 12,"
echo "leader killed when $moved of $before executors had left the zone"
