#!/bin/sh
# Guards carawayctl place with real processes: the leader's answer names the executors on
# which the tasks of the job then start, a controller that does not lead names the leader,
# a job that waits is explained, and bad requests and factors are refused.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
D=$(mktemp -d)
PORT=${SITE_PORT:-28600}
RPC=$PORT CONTROL=$((PORT + 1)) CALLERS=$((PORT + 2)) HEALTH=$((PORT + 3))
METRICS=$((PORT + 5))
bad=0
fail() {
	echo "FAILED: $*"
	bad=1
}
end() {
	for p in "$D"/*.pid; do kill -9 "$(cat "$p")" 2>/dev/null; done
	wait 2>/dev/null # they hold their ports until they have ended
	[ "$bad" -ne 0 ] && tail -n 15 "$D"/*.log
	rm -rf "$D"
	exit $bad
}
trap end EXIT
until_ok() { # SECONDS COMMAND...: repeats the command until it succeeds
	tries=$(($1 * 20))
	shift
	while [ $tries -gt 0 ]; do
		"$@" && return 0
		sleep 0.05
		tries=$((tries - 1))
	done
	return 1
}
settings() { # NAME ROLE ADDRESS FOUND
	printf 'name: %s\nrole: %s\nzone: z1\ncluster-key: k\nfound: %s\nseeds:\n' "$1" "$2" "$4"
	for i in 1 2 3; do printf '  - {address: "127.0.1.%s:%s"}\n' $i $CONTROL; done
	printf 'listen:\n  rpc: "%s:%s"\n' "$3" $RPC
	if [ "$2" = controller ]; then
		printf '  control: "%s:%s"\n  metrics: "%s:%s"\ndata: "%s"\n' \
			"$3" $CONTROL "$3" $METRICS "$D/$1.data"
		printf 'workers:\n  lease-ms: 3000\n  report-ms: 500\n  status-s: 600\n'
		printf '  cross-rack-factor: %s\n' "${FACTOR:-2.5}"
	else
		printf '  callers: "%s:%s"\n  health: "%s:%s"\n' "$3" $CALLERS "$3" $HEALTH
	fi
}
run() { # NAME
	mkdir -p "$D/$1.data"
	"$BUILD/bin/carawayfrontd" -c "$D/$1.yaml" >>"$D/$1.log" 2>&1 &
	echo $! >"$D/$1.pid"
}
status() {
	: >"$D/body"
	curl -s -m 3 -o "$D/body" -w '%{http_code}' "$@"
}
is() { [ "$("$@")" = 200 ]; }
ask() { # METHOD PATH [BODY]
	for i in 1 2 3; do
		code=$(status -X "$1" ${3:+-d "$3"} "http://127.0.1.$i:$CONTROL$2")
		case $code in 2?? | 400) break ;; esac
	done
	echo "$code"
}
caller() { # METHOD PATH [BODY]
	status -X "$1" -H 'Host: h.example' -H 'X-Carawayfront-Deadline-Ms: 3000' \
		${3:+-d "$3"} "http://127.0.2.1:$CALLERS$2"
}
place() { # ARGUMENTS...: the preview; it is answered 10 times in a second at most
	sleep 0.2
	"$BUILD/bin/carawayctl" -a "127.0.1.1:$METRICS,127.0.1.2:$METRICS" "$@"
}
conf='{"version":5,"routes":[{"name":"q","host":"h.example","path_prefix":"/q/","type":"unsafe","timeout_ms":3000,"slo_ms":1000,"priority":0,"service":"svc","attempts":2,"stretch":2.0}],"services":[{"name":"svc","admission_control":true}],"limits":{}}'
job_id() { printf '%016x' "$1"; }

# Settings that are not a factor are refused.
for factor in 0.5 1.2345 x -1 101 1. 1500; do
	FACTOR=$factor settings b controller 127.0.1.9 true >"$D/b.yaml"
	timeout 5 "$BUILD/bin/carawayfrontd" -c "$D/b.yaml" >"$D/b.out" 2>&1 &&
		fail "factor $factor taken"
	grep -q cross-rack-factor "$D/b.out" || fail "factor $factor: $(cat "$D/b.out")"
done

for i in 1 2 3; do settings c$i controller 127.0.1.$i true >"$D/c$i.yaml"; done
settings g1 gateway 127.0.2.1 false >"$D/g1.yaml"
for n in c1 c2 c3 g1; do run $n; done
"$BUILD/bin/executor" --listen 127.0.3.1:$((PORT + 4)) --count 4 --zone z1 --service svc \
	--control 127.0.1.1:$CONTROL --control 127.0.1.2:$CONTROL --control 127.0.1.3:$CONTROL \
	--work-ms 300 --ledger "$D/ledger" >"$D/executor.log" 2>&1 &
echo $! >"$D/executor.pid"
until_ok 10 is ask POST /api/config/replace "$conf" || fail "no configuration taken"
until_ok 5 is status "http://127.0.2.1:$HEALTH/api/ready" || fail "gateway not ready"

four_usable() { # all executors have room
	printf '{"steps":[{"count":4,"cpu":5000,"mem_mb":100,"estimate_ms":300}]}' >"$D/wide.json"
	place -j place q "$D/wide.json" >"$D/wide.out" 2>/dev/null &&
		[ "$(grep -c '"reason": "has room"' "$D/wide.out")" -eq 4 ]
}
until_ok 10 four_usable || fail "executors: $(cat "$D/wide.out")"

# The preview equals the start, also with jobs that stay where they are.
for i in 1 2 3 4 5 6; do
	n=$((i % 3 + 1))
	printf '{"spec":"lasts","steps":[{"count":%s,"cpu":%s,"mem_mb":100,"estimate_ms":300,"long_running":true}]}' \
		$n $((500 + i * 250)) >"$D/job.json"
	place -j place q "$D/job.json" >"$D/place.$i" || fail "no preview of job $i"
	sed -n '/"tasks": \[/,/\]/p' "$D/place.$i" | grep -o '"worker": "[^"]*"' |
		cut -d'"' -f4 | sort >"$D/expected"
	[ "$(wc -l <"$D/expected")" -eq $n ] || fail "job $i: $(cat "$D/place.$i")"
	until_ok 5 is caller POST "/q/$(job_id $i)" "$(cat "$D/job.json")" || fail "job $i refused"
	began() { [ "$(grep -c "^start $(job_id $i)" "$D/ledger")" -eq $n ]; }
	until_ok 5 began || fail "job $i does not start"
	grep "^start $(job_id $i)" "$D/ledger" | awk '{ print $4 }' | sort >"$D/started"
	cmp -s "$D/expected" "$D/started" ||
		fail "job $i: expected $(tr '\n' ' ' <"$D/expected")started $(tr '\n' ' ' <"$D/started")"
done
place place q "$D/job.json" >"$D/text" || fail "no preview as text"
grep -q 'starts on ' "$D/text" || fail "text: $(cat "$D/text")"

# A job that waits: why, by its id.
printf '{"spec":"big","steps":[{"count":1,"cpu":999000,"mem_mb":100,"estimate_ms":300}]}' >"$D/big.json"
until_ok 5 is caller POST "/q/$(job_id 50)" "$(cat "$D/big.json")" || fail "job 50 refused"
place -t "$(job_id 50)" place >"$D/text" || fail "no preview of job 50"
grep -q 'no worker takes it now' "$D/text" || fail "job 50: $(cat "$D/text")"
grep -q 'have its cores' "$D/text" || fail "job 50 has no reason: $(cat "$D/text")"

# A controller that does not lead names the one that does.
named=0
for i in 1 2 3; do
	sleep 0.2
	code=$(status "http://127.0.1.$i:$METRICS/v1/placement?job=$(job_id 50)")
	[ "$code" = 503 ] && grep -q '"leader":"127.0.1.[123]:'$METRICS'"' "$D/body" &&
		named=$((named + 1))
done
[ $named -eq 2 ] || fail "$named controllers name the leader"

# Bad requests; the metrics are still there.
refused() { # STATUS ARGUMENTS...: the leader's status
	want=$1
	shift
	for i in 1 2 3; do
		sleep 0.2
		code=$(status "$@" "http://127.0.1.$i:$METRICS/v1/placement$query")
		[ "$code" = 503 ] || break
	done
	[ "$code" = "$want" ] || fail "$query $*: $code, expected $want"
}
query='?job=zz' refused 400
query="?job=$(job_id 99)" refused 404
query='?queue=none' refused 404 -d "$(cat "$D/job.json")"
query='?queue=q' refused 400 -d '{"steps":1}'
query='?queue=q' refused 400 -d '{"steps":'
query='?queue=q' refused 405 -X DELETE
is status "http://127.0.1.1:$METRICS/metrics" || fail "no metrics"
grep -q carawayfront_ "$D/body" || fail "metrics: $(head -n 3 "$D/body")"
[ "$bad" -eq 0 ] && echo "site place: ok"
