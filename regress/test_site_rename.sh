#!/bin/sh
# Guards against accepted jobs and cancels that are lost, or go to another queue, when
# queues get other names: two queues exchange their names again and again while jobs are
# submitted and cancelled, the leader is killed, and versions come without one of them.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SEED=2
SECONDS=10
PORT=${SITE_PORT:-28300}
GRACE_S=6
N_JOBS=${N_JOBS:-60}
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

job='{"spec":"work","steps":[{"count":2,"cpu":100,"mem_mb":10,"estimate_ms":300},{"count":1,"cpu":100,"mem_mb":10,"estimate_ms":300,"depends_on":[0]}]}'
lasting='{"spec":"lasts","steps":[{"count":1,"cpu":100,"mem_mb":10,"estimate_ms":300,"long_running":true}]}'
route() { # NAME PREFIX
	printf '{"name":"%s","host":"h.example","path_prefix":"/%s/","type":"unsafe","timeout_ms":3000,"slo_ms":1000,"priority":0,"service":"svc","attempts":2,"stretch":2.0}' "$1" "$2"
}
# Without the queue /p/ each tenth time, and with other names from version to version.
names_conf() { # VERSION
	first=$(($1 % 3)) second=$((($1 + 1) % 3))
	printf '{"version":%s,"routes":[%s' "$1" "$(route n$first q)"
	[ $(($1 % 10)) = 0 ] || printf ',%s' "$(route n$second p)"
	printf '],"services":[{"name":"svc","admission_control":true}],"limits":{}}'
}
call() { # METHOD QUEUE JOB [BODY]: prints the status
	curl -s -m 3 -o "$D/body-$2" -w '%{http_code}' -X "$1" -H 'Host: h.example' \
		-H 'X-Carawayfront-Deadline-Ms: 3000' ${4:+-d "$4"} \
		"http://127.0.2.1:$CALLERS/$2/$(printf '%016x' "$3")"
}
answers() { # STATUS METHOD QUEUE JOB [BODY]
	wanted=$1
	shift
	[ "$(call "$@")" = "$wanted" ]
}
is_in() { # STATE QUEUE JOB
	call GET "$2" "$3" >/dev/null
	grep -q "\"state\":\"$1\"" "$D/body-$2"
}
rename() { # until the callers are done
	version=10
	until [ -e "$D/submitted" ]; do
		version=$((version + 1))
		soak_order 1 /api/config/replace "$(names_conf $version)" >/dev/null
		[ $((version % 40)) = 0 ] || continue
		led=$(grep -h 'event=leading-started' "$D"/c*.log | sort | tail -n 1 |
			sed 's/.*process=\(c[0-9]*\).*/\1/')
		soak_kill "$led"
		soak_run "$led"
	done
	echo "$version" >"$D/version"
}
submit_all() { # QUEUE FIRST: cancels that come first, lasting jobs to be cancelled, others
	for i in $(seq "$2" $(($2 + N_JOBS - 1))); do
		case $((i % 4)) in
		0) soak_until 20 answers 410 DELETE "$1" "$i" || soak_fail "$1 $i: no cancel" ;;
		1) soak_until 20 answers 200 POST "$1" "$i" "$lasting" || soak_fail "$1 $i" ;;
		*) soak_until 20 answers 200 POST "$1" "$i" "$job" || soak_fail "$1 $i: not accepted" ;;
		esac
	done
}

soak_start || exit 1
soak_put 1 "$(names_conf 9)" || soak_fail "no configuration"
soak_until 5 answers 410 GET p 1 || soak_fail "no second queue"
rename &
operator=$!
submit_all q 1000 &
callers=$!
submit_all p 2000
wait $callers
touch "$D/submitted"
wait $operator
version=$(($(cat "$D/version") / 10 * 10 + 11))
soak_until 10 soak_put 1 "$(names_conf $version)" || soak_fail "no last configuration"
for at in q:1000 p:2000; do
	queue=${at%:*}
	for i in $(seq "${at#*:}" $((${at#*:} + N_JOBS - 1))); do
		case $((i % 4)) in
		0) # cancelled before it came, under any name
			soak_until 10 answers 200 POST "$queue" "$i" "$job" || soak_fail "$queue $i: not taken"
			is_in cancelled "$queue" "$i" || soak_fail "$queue $i: $(cat "$D/body-$queue")"
			;;
		1) # runs, until it is cancelled
			soak_until 20 is_in running "$queue" "$i" || soak_fail "$queue $i: $(cat "$D/body-$queue")"
			soak_until 10 answers 200 DELETE "$queue" "$i" || soak_fail "$queue $i: not cancelled"
			;;
		*) soak_until 30 is_in completed "$queue" "$i" || soak_fail "$queue $i: $(cat "$D/body-$queue")" ;;
		esac
	done
done
echo "versions: $version, leaders: $(cat "$D"/c*.log | grep -c event=leading-started)"
soak_stop_all
[ -e "$D/failed" ] || echo "site rename: ok"
[ ! -e "$D/failed" ]
