#!/bin/sh
# Guards credentials of organisations with real processes: who gets in, that a withdrawn
# key stays out across a killed leader and a restart of all, that jobs keep their owner,
# and that no process logs a key.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
D=$(mktemp -d)
PORT=${SITE_PORT:-31000}
RPC=$PORT CONTROL=$((PORT + 1)) CALLERS=$((PORT + 2)) HEALTH=$((PORT + 3))
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
		printf '  control: "%s:%s"\ndata: "%s"\n' "$3" $CONTROL "$D/$1.data"
	else
		printf '  callers: "%s:%s"\n  health: "%s:%s"\n' "$3" $CALLERS "$3" $HEALTH
	fi
	printf 'workers:\n  lease-ms: 3000\n  report-ms: 500\n  status-s: 600\n'
}
run() { # NAME
	mkdir -p "$D/$1.data"
	"$BUILD/bin/carawayfrontd" -c "$D/$1.yaml" >>"$D/$1.log" 2>&1 &
	echo $! >"$D/$1.pid"
}
stop() { # NAME SIGNAL
	kill "-$2" "$(cat "$D/$1.pid")"
	wait "$(cat "$D/$1.pid")" 2>/dev/null
}
status() {
	: >"$D/body"
	curl -s -m 3 -o "$D/body" -w '%{http_code}' "$@"
}
caller() { # KEY METHOD PATH [BODY]; KEY "": none
	status -X "$2" -H 'Host: h.example' -H 'X-Carawayfront-Deadline-Ms: 3000' \
		${1:+-H "X-Carawayfront-Credential: $1"} ${4:+-d "$4"} \
		"http://127.0.2.1:$CALLERS$3"
}
# Whether a request gets a code, once a leader answers.
gets() { # CODE KEY METHOD PATH [BODY]
	code=$1
	shift
	for i in 1 2 3 4 5 6 7 8 9 10; do
		got=$(caller "$@")
		[ "$got" != 503 ] && [ "$got" != 504 ] && break
		sleep 0.5
	done
	[ "$got" = "$code" ] || fail "$* gets $got, not $code"
}
control() { # METHOD PATH [BODY]
	for i in 1 2 3 4 5 6 7 8 9 10 11 12; do
		code=$(status -X "$1" ${3:+-d "$3"} \
			"http://127.0.1.$((i % 3 + 1)):$CONTROL$2")
		case $code in 2?? | 400) break ;; esac
		sleep 0.3
	done
	echo "$code"
}
conf() { # VERSION TENANTS
	printf '{"version":%s,"routes":[{"name":"q","host":"h.example","path_prefix":"/q/","timeout_ms":3000,"service":"svc"},{"name":"open","host":"h.example","path_prefix":"/open/","timeout_ms":3000,"service":"svc","public":true}],"services":[{"name":"svc","admission_control":true}]%s}' \
		"$1" "${2:+,\"tenants\":[$2]}"
}
put() { # VERSION TENANTS
	[ "$(control POST /api/config/replace "$(conf "$1" "$2")")" = 200 ] ||
		fail "version $1 not taken"
}
leader() { # name of the controller that leads now
	for i in 1 2 3; do
		kill -0 "$(cat "$D/c$i.pid")" 2>/dev/null || continue
		grep -E 'event=leading-(started|ended)' "$D/c$i.log" 2>/dev/null | tail -n 1 |
			grep -q leading-started && echo "c$i" && return
	done
}
job='{"spec":"work","steps":[{"count":1,"cpu":500,"mem_mb":100,"estimate_ms":300}]}'
id() { printf '/q/%016x' "$1"; }
a='{"name":"alpha","api_keys":["secret-alpha-1","secret-alpha-2"],"priority":1,"weight":19,"max_count":{"cpu":1897323,"mem_mb":3406163,"gpu":0}}'
fewer='{"name":"alpha","api_keys":["secret-alpha-2"],"weight":19}'
b='{"name":"beta","api_keys":["secret-beta-1"]}'
b_new='{"name":"beta","api_keys":["secret-beta-2"]}'

for i in 1 2 3; do settings c$i controller 127.0.1.$i true >"$D/c$i.yaml"; done
settings g1 gateway 127.0.2.1 false >"$D/g1.yaml"
for n in c1 c2 c3 g1; do run $n; done

# Without organisations a credential changes nothing.
has_leader() { [ -n "$(leader)" ]; }
until_ok 10 has_leader || fail "no leader"
put 1 ""
gets 200 secret-beta-1 POST "$(id 1)" "$job"
gets 200 "" GET "$(id 1)"
gets 400 "" POST "$(id 99)" '{"steps":1}'

# Two organisations: from the answer on, the keys are valid and needed.
put 2 "$a,$b"
for method in GET DELETE; do
	gets 401 "" $method "$(id 1)"
	gets 401 secret-beta $method "$(id 1)"
done
[ "$(cat "$D/body")" = '{}' ] || fail "body of 401: $(cat "$D/body")"
gets 401 "" POST "$(id 2)" "$job"
gets 401 "" POST "$(id 2)" '{"steps":1}'
gets 404 "" GET /nothing/
gets 401 "" GET /q/no-id
gets 410 secret-beta-1 GET /q/no-id
long=$(printf '%0300d' 0)
gets 401 "$long" GET "$(id 1)"
got=$(status -H 'Host: h.example' -H 'X-Carawayfront-Credential: secret-beta-1' \
	-H 'X-Carawayfront-Credential: secret-alpha-1' "http://127.0.2.1:$CALLERS$(id 1)")
[ "$got" = 401 ] || fail "two keys get $got"
got=$(status -H 'Host: h.example' -H 'X-Carawayfront-Credential: secret-beta-1' \
	-H 'X-Carawayfront-Credential: secret-beta-1' "http://127.0.2.1:$CALLERS$(id 1)")
[ "$got" = 200 ] || fail "a key sent twice gets $got"
gets 200 secret-beta-1 GET "$(id 1)"
gets 200 secret-alpha-1 GET "$(id 1)"
gets 200 secret-alpha-1 POST "$(id 2)" "$job"
gets 200 secret-alpha-2 POST "$(id 2)" "$job"
gets 200 secret-alpha-2 GET "$(id 2)"
gets 200 secret-alpha-1 GET /q/
gets 410 secret-beta-1 GET "$(id 2)"
gets 410 secret-beta-1 DELETE "$(id 2)"
gets 409 secret-beta-1 POST "$(id 2)" "$job"
gets 410 secret-beta-1 DELETE "$(id 3)"
gets 200 secret-alpha-1 POST "$(id 3)" "$job"
gets 200 secret-alpha-1 GET "$(id 3)"
grep -q queued "$D/body" || fail "cancelled by another organisation: $(cat "$D/body")"

# A public queue needs no key, and knows the callers that send one.
gets 200 "" POST /open/00000000000000a1 "$job"
gets 200 wrong-key GET /open/00000000000000a1
gets 200 secret-beta-1 POST /open/00000000000000a2 "$job"
gets 410 secret-alpha-1 GET /open/00000000000000a2
gets 410 "" GET /open/00000000000000a2
gets 200 secret-beta-1 GET /open/00000000000000a2

# An invalid configuration is refused and not in force.
[ "$(control POST /api/config/replace "$(conf 3 "$a,$a")")" = 400 ] || fail "a name twice"
[ "$(control POST /api/config/replace \
	"$(conf 3 "$a,{\"name\":\"c\",\"api_keys\":[\"secret-alpha-1\"]}")")" = 400 ] ||
	fail "a shared key"
[ "$(control POST /api/config/replace "$(conf 3 "{\"name\":\"c\",\"api_keys\":[\"\"]}")")" = 400 ] ||
	fail "an empty key"
gets 200 secret-alpha-1 GET "$(id 2)"

# A withdrawn key stays out, also under the next leader and after a restart of all.
put 3 "$fewer,$b"
gets 401 secret-alpha-1 GET "$(id 2)"
gets 200 secret-alpha-2 GET "$(id 2)"
killed=$(leader)
stop "$killed" KILL
gets 401 secret-alpha-1 GET "$(id 2)"
gets 401 secret-alpha-1 POST "$(id 4)" "$job"
gets 200 secret-alpha-2 GET "$(id 2)"
gets 410 secret-beta-1 GET "$(id 2)"
run "$killed"
for n in c1 c2 c3; do stop $n KILL; done
for n in c1 c2 c3; do run $n; done
gets 401 secret-alpha-1 GET "$(id 2)"
gets 401 "" DELETE "$(id 2)"
gets 200 secret-alpha-2 GET "$(id 2)"
grep -q queued "$D/body" || fail "job 2: $(cat "$D/body")"

# Two organisations submit one id at the same time: one has it, the other is told so.
for i in 41 42 43 44 45 46 47 48; do
	for key in secret-alpha-2 secret-beta-1; do
		curl -s -m 3 -o /dev/null -w '%{http_code}\n' -X POST -d "$job" \
			-H 'Host: h.example' -H "X-Carawayfront-Credential: $key" \
			"http://127.0.2.1:$CALLERS$(id $i)" >"$D/$key.code" &
		echo $! >"$D/$key.curl"
	done
	wait "$(cat "$D/secret-alpha-2.curl")" "$(cat "$D/secret-beta-1.curl")"
	got=$(cat "$D"/secret-*.code | sort | tr '\n' ' ')
	[ "$got" = "200 409 " ] || fail "job $i of two organisations: $got"
done

# A leader that wakes after its lease refuses nobody by its old configuration.
frozen=$(leader)
kill -STOP "$(cat "$D/$frozen.pid")"
code=0
for i in 1 2 3 4 5 6 7 8 9 10 11 12; do
	[ "c$((i % 3 + 1))" = "$frozen" ] && continue
	code=$(status -X POST -d "$(conf 4 "$fewer,$b_new")" \
		"http://127.0.1.$((i % 3 + 1)):$CONTROL/api/config/replace")
	[ "$code" = 200 ] && break
	sleep 0.5
done
[ "$code" = 200 ] || fail "version 4 not taken beside a paused leader"
stop g1 KILL # the next one knows no leader yet
kill -CONT "$(cat "$D/$frozen.pid")"
run g1
until_ok 5 status "http://127.0.2.1:$HEALTH/api/ready" >/dev/null
for i in 1 2 3 4 5 6 7 8 9 10; do
	gets 401 secret-beta-1 GET /q/
	gets 200 secret-beta-2 GET /q/
done

# An organisation that is dropped has no access, and gets its jobs back with its return.
put 5 "$b"
gets 401 secret-alpha-2 GET "$(id 2)"
gets 410 secret-beta-1 GET "$(id 2)"
put 6 "$a,$b"
gets 200 secret-alpha-1 DELETE "$(id 2)"
gets 200 secret-alpha-2 GET "$(id 2)"
grep -q cancelled "$D/body" || fail "job 2 not cancelled: $(cat "$D/body")"
control GET /api/config/get >/dev/null
[ "$(cat "$D/body")" = "$(conf 6 "$a,$b")" ] || fail "read back: $(cat "$D/body")"
put 7 ""
gets 200 "" GET "$(id 3)"

grep -q 'event=authorization-failed reason=' "$D"/c?.log || fail "refusals not logged"
grep -l 'secret-' "$D"/*.log && fail "a key is in a log"
[ "$bad" -eq 0 ] && echo "site org: ok"
