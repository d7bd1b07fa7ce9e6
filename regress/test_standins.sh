#!/bin/sh
# Each failure mode of the upstream and of the fault-injecting proxy does what it
# says, and the load generator counts what happened. Without this, a test of the
# daemon could pass because its fault was never injected.
set -u
B=${BUILD:-build}/bin
SEED=${1:-1}
D=$(mktemp -d)
U=127.0.0.1:22110
P=127.0.0.1:22111
C=127.0.0.1:22112
pids=
bad=0
end() {
	for p in $pids; do kill -9 "$p" 2>/dev/null; done
	rm -rf "$D"
}
trap end EXIT
fail() {
	echo "FAILED: $*"
	bad=1
}
# expect WHAT GOT WANTED
expect() { [ "$2" = "$3" ] || fail "$1: got '$2', expected '$3'"; }
wait_port() {
	for _ in $(seq 200); do
		curl -s -m 2 -o /dev/null "http://$1/" 2>/dev/null
		[ $? -ne 7 ] && return 0
		sleep 0.02
	done
	fail "nothing listens on $1"
}
up=
start_upstream() {
	: >"$D/ledger"
	"$B/upstream" --listen $U --ledger "$D/ledger" --seed "$SEED" "$@" &
	up=$!
	pids="$pids $up"
	wait_port $U
	: >"$D/ledger"
}
stop_upstream() {
	kill -9 "$up"
	wait "$up" 2>/dev/null
}
ran() { grep -c " $1\$" "$D/ledger"; }
get() { # get PATH [CURL-OPTION...]: prints status and exit status of curl
	p=$1
	shift
	curl -s -o "$D/body" -w '%{http_code}' "$@" "http://$U$p"
	echo " $?"
}

curl() { command curl -m 10 "$@"; }

# Usage errors end with status 2.
for c in upstream worker faultproxy loadgen; do
	"$B/$c" >/dev/null 2>&1
	expect "$c without options" $? 2
done
"$B/upstream" --listen $U --fail wrong=1 >/dev/null 2>&1
expect "unknown mode" $? 2
"$B/loadgen" --entry $U --rate -1 >/dev/null 2>&1
expect "negative rate" $? 2

# Digest, size of the answer, ledger.
start_upstream --service-ms 5
expect "put" "$(curl -s -X PUT -d hello -H 'Standin-Answer-Bytes: 3' \
	-H 'Idempotency-Key: k1' http://$U/a/b | tr '\n' ' ' | cut -d' ' -f1-4)" \
	"PUT /a/b 5 3610a686"
expect "ledger" "$(cut -d' ' -f1-4,7 "$D/ledger")" "u1 k1 PUT /a/b done"
get /x -H 'Standin-Answer-Bytes: 1000' >/dev/null
expect "size of the answer" "$(wc -c <"$D/body" | tr -d ' ')" $((1000 + 18))

# Modes of the upstream; they can be changed at run time.
mode() { expect "mode $1" "$(curl -s -X PUT -d "$1" http://$U/-/mode)" ok; }
mode close=1
expect "close" "$(get /c)" "000 52"
expect "close in the ledger" "$(ran close)" 1
mode none
mode truncate=10:1
expect "truncate" "$(get /t -H 'Standin-Answer-Bytes: 100')" "200 18"
expect "truncate in the ledger" "$(ran truncate)" 1
expect "truncated size" "$(wc -c <"$D/body" | tr -d ' ')" 10
mode none
mode refuse=1
expect "refuse" "$(get /r -D "$D/head")" "503 0"
grep -qi '^carawayfront-run: not-run' "$D/head" || fail "refuse without not-run"
expect "a refused request has run" "$(grep -c ' /r ' "$D/ledger")" 0
mode none
mode slow=40:0:1000
t0=$(date +%s%N)
get /s >/dev/null
[ $((($(date +%s%N) - t0) / 1000000)) -ge 200 ] || fail "slow: less than 40 x 5 ms"
mode none
expect "none" "$(get /n)" "200 0"
stop_upstream

# A hanging request holds its slot; above the slots requests are refused.
start_upstream --slots 1
mode hang=1
expect "hang" "$(get /h -m 0.3)" "000 28"
expect "hang in the ledger" "$(ran hang)" 1
expect "above the slots" "$(get /h2)" "503 0"
stop_upstream

# A stop lets the request in flight finish, then the process ends.
start_upstream --service-ms 400 --ledger-starts
get /last >"$D/last" &
req=$!
for _ in $(seq 200); do [ "$(ran start)" = 1 ] && break; sleep 0.01; done
kill -TERM "$up"
wait "$req"
expect "request during a stop" "$(cat "$D/last")" "200 0"
wait "$up"
expect "stopped upstream" $? 0
expect "stopped upstream's ledger" "$(ran done)" 1

# Load through the proxy: every request is counted once, and the upstream ran it once.
start_upstream --service-ms exp:3 --slots 64
"$B/faultproxy" --control $C --pair a=$P=$U --seed "$SEED" &
pids="$pids $!"
wait_port $C
fault() { expect "fault $1" "$(curl -s "http://$C/$1" | tail -n 1)" ok; }
value() { sed -n "s/^  \"$1\": \([0-9]*\),*\$/\1/p" "$D/load"; }
load() { "$B/loadgen" --direct --entry $P --seed "$SEED" "$@" >"$D/load"; }
load --max 300 --duration 20 --concurrency 16
expect "load generator" $? 0
expect "done" "$(value done)" 300
expect "ran" "$(ran done)" 300
expect "keys that ran twice" "$(cut -d' ' -f4 "$D/ledger" | sort | uniq -d | wc -l | tr -d ' ')" 0

# Answers of a proxy that loses bytes are unknown, never done or wrong.
fault close-after/a/300
load --max 40 --duration 20 --concurrency 4 --answer 1000
expect "done after close-after" "$(value done)" 0
expect "unknown after close-after" "$(value unknown)" 40
fault heal/a
fault cut/a
load --max 4 --concurrency 4 --timeout-ms 300
expect "unknown while cut" "$(value unknown)" 4
expect "requests that passed a cut" "$(curl -s "http://$C/stats/a" | grep -c 'dropped-up 0')" 0
fault heal/a
fault half/a/down
: >"$D/ledger"
load --max 4 --concurrency 4 --timeout-ms 500
expect "unknown while half open" "$(value unknown)" 4
expect "ran while half open" "$(ran done)" 4
fault heal/a
load --max 20 --concurrency 4
expect "done after heal" "$(value done)" 20

# Held bytes arrive after heal.
fault hold/a
: >"$D/ledger"
"$B/loadgen" --direct --entry $P --max 1 --concurrency 1 --timeout-ms 20000 >"$D/load" &
held=$!
sleep 0.4
expect "ran while held" "$(ran done)" 0
fault heal/a
wait "$held"
expect "done after hold" "$(value done)" 1

# Reset breaks what is open.
fault delay/a/5000
"$B/loadgen" --direct --entry $P --max 1 --concurrency 1 --timeout-ms 20000 >"$D/load" &
held=$!
sleep 0.4
fault reset/a
wait "$held"
expect "unknown after reset" "$(value unknown)" 1
fault heal/a

# Delay and rate take at least the time that they state.
fault delay/a/100/20
t0=$(date +%s%N)
load --max 1 --concurrency 1
[ $((($(date +%s%N) - t0) / 1000000)) -ge 200 ] || fail "delay: less than 2 x 100 ms"
fault heal/a
fault rate/a/20000
t0=$(date +%s%N)
load --max 1 --concurrency 1 --post 0 --answer 10000
[ $((($(date +%s%N) - t0) / 1000000)) -ge 400 ] || fail "rate: 10 kB in less than 0.4 s"
expect "done under a rate" "$(value done)" 1
fault heal/a
expect "unknown command" "$(curl -s "http://$C/nothing/a")" "error: not a command"
expect "unknown pair" "$(curl -s "http://$C/cut/b")" "error: not a command"

# A complete answer with status 200 that belongs to another request is wrong: here it
# comes from the control port, which takes the path for a command.
"$B/loadgen" --direct --entry $C --max 1 --concurrency 1 --post 0 --team delay --service a \
	--prefix 1 >"$D/load"
expect "exit status after a foreign answer" $? 1
expect "foreign answer" "$(value wrong)" 1

# A caller is sent only to entry processes whose health check answers 200.
"$B/loadgen" --direct --entry $U,127.0.0.1:22119 --max 3 --duration 1 --concurrency 1 >"$D/load"
expect "without a healthy entry process" "$(value done)" 0
expect "not run without a healthy entry process" "$(value not_run)" 3
exit $bad
