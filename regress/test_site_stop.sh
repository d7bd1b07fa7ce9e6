#!/bin/sh
# Guards against a planned stop that cuts off the requests which still wait for the
# leader (each gets a whole answer, and the process ends without an error or a leak), and
# against one that finds a starting process without its signal handlers.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
D=$(mktemp -d)
PORT=${SITE_PORT:-25900}
RPC=$PORT CONTROL=$((PORT + 1)) CALLERS=$((PORT + 2))
bad=0
fail() {
	echo "FAILED: $*"
	bad=1
}
end() {
	for p in "$D"/*.pid; do kill -9 "$(cat "$p")" 2>/dev/null; done
	[ "$bad" -ne 0 ] && tail -n 40 "$D"/*.log
	rm -rf "$D"
	exit $bad
}
trap end EXIT
settings() { # NAME ROLE: of a process that finds no other
	printf 'name: %s\nrole: %s\nzone: z1\ncluster-key: k\nfound: false\nseeds:\n' "$1" "$2"
	printf '  - {address: "127.0.1.9:%s"}\nlisten:\n' $CONTROL
	if [ "$2" = controller ]; then
		printf '  rpc: "127.0.1.1:%s"\n  control: "127.0.1.1:%s"\ndata: "%s"\n' \
			$RPC $CONTROL "$D/data"
	else
		printf '  rpc: "127.0.2.1:%s"\n  callers: "127.0.2.1:%s"\n' $RPC $CALLERS
	fi
}
answered() { # SECONDS ADDRESS: waits until the port answers
	for _ in $(seq $(($1 * 20))); do
		curl -s -m 3 -o "$D/body" "http://$2/" && return 0
		sleep 0.05
	done
	return 1
}
check_stop() { # NAME ADDRESS PATH DELAY: requests are sent before and after the signal
	answered 10 "$2" || fail "$1 does not listen"
	for n in 1 2 3; do
		curl -s -m 9 -o "$D/body.$n" -w '%{http_code}\n' "http://$2$3" >"$D/code.$n" &
		eval "curl$n=$!"
	done
	sleep 0.1
	kill -TERM "$(cat "$D/$1.pid")"
	sleep "$4"
	curl -s -m 9 -o "$D/body.4" -w '%{http_code}\n' "http://$2$3" >"$D/code.4" &
	curl4=$!
	wait "$(cat "$D/$1.pid")" || fail "$1 ended with an error"
	for n in 1 2 3 4; do
		eval "wait \$curl$n" || fail "$1 cut off request $n"
		grep -q 503 "$D/code.$n" || fail "$1 answered request $n with $(cat "$D/code.$n")"
	done
}
check_stop_at_start() { # stops a controller as soon as it has made its first file
	mkdir "$D/early$1"
	settings controller controller | sed "s|^data:.*|data: \"$D/early$1\"|" >"$D/early$1.yaml"
	"$BUILD/bin/carawayfrontd" -c "$D/early$1.yaml" >"$D/early$1.log" 2>&1 &
	echo $! >"$D/early$1.pid"
	limit=$(($(date +%s) + 10))
	set -- "$1" "$D/early$1"/*
	while [ ! -e "$2" ]; do
		[ "$(date +%s)" -lt "$limit" ] || break
		for _ in $(seq 2000); do set -- "$1" "$D/early$1"/*; [ -e "$2" ] && break; done
	done
	[ -e "$2" ] || fail "made no file within 10 s"
	kill -TERM "$(cat "$D/early$1.pid")"
	wait "$(cat "$D/early$1.pid")" || fail "stopped at its start with status $?"
}
check_stop_before_settings() { # stops a gateway while it reads its settings, held by a pipe
	mkfifo "$D/early.yaml"
	"$BUILD/bin/carawayfrontd" -c "$D/early.yaml" >"$D/early.log" 2>&1 &
	echo $! >"$D/early.pid"
	exec 3>"$D/early.yaml" # the daemon has opened it
	kill -TERM "$(cat "$D/early.pid")"
	sleep 0.2
	(settings gateway gateway >&3) # ended by SIGPIPE if the daemon has gone
	exec 3>&-
	wait "$(cat "$D/early.pid")" || fail "stopped while it read its settings, with status $?"
	grep -q event=started "$D/early.log" && fail "started its role after it was told to stop"
}
check_stop_before_settings
for n in 1 2 3 4 5; do check_stop_at_start $n; done
mkdir "$D/data"
for n in controller gateway; do
	settings $n $n >"$D/$n.yaml"
	"$BUILD/bin/carawayfrontd" -c "$D/$n.yaml" >"$D/$n.log" 2>&1 &
	echo $! >"$D/$n.pid"
done
check_stop controller 127.0.1.1:$CONTROL /api/config/get 0
check_stop gateway 127.0.2.1:$CALLERS /q/0000000000000001 1
log_ms() { # EVENT: its time in the day
	sed -n "s/^time=[^T]*T\([0-9:]*\)\.\([0-9]*\)Z.* event=$1 .*/\1:\2/p" "$D/kept.log" |
		awk -F: '{ print (($1 * 60 + $2) * 60 + $3) * 1000 + $4 }'
}
# Readers that keep their connections do not hold up the stop until its limit of 5 s.
check_stop_with_readers() {
	"$BUILD/bin/carawayfrontd" -c "$D/gateway.yaml" >"$D/kept.log" 2>&1 &
	echo $! >"$D/kept.pid"
	answered 10 127.0.2.1:$CALLERS || fail "the gateway does not listen"
	set -- --address 127.0.2.1:$CALLERS
	"$BUILD/bin/keepopen" "$@" "$@" "$@" --path /q/0000000000000001 --expect 503 \
		>"$D/keepopen.log" 2>&1 &
	echo $! >"$D/keepopen.pid"
	sleep 1
	kill -TERM "$(cat "$D/kept.pid")"
	wait "$(cat "$D/kept.pid")" || fail "the gateway with readers ended with an error"
	took=$(($(log_ms stopped) - $(log_ms shutdown-started)))
	[ $(((took + 86400000) % 86400000)) -lt 5000 ] ||
		fail "the gateway with readers stopped after $took ms"
	kill -TERM "$(cat "$D/keepopen.pid")"
	wait "$(cat "$D/keepopen.pid")" || fail "a reader got an unexpected answer"
}
check_stop_with_readers
# A supervisor that repeats SIGTERM does not put off the end of a stop.
check_stop_told_again() { # NAME ADDRESS
	"$BUILD/bin/carawayfrontd" -c "$D/$1.yaml" >"$D/again.log" 2>&1 &
	echo $! >"$D/again.pid"
	answered 10 "$2" || fail "$1 does not listen"
	told=0
	while kill -TERM "$(cat "$D/again.pid")" 2>/dev/null; do
		told=$((told + 1))
		[ $told -lt 20 ] || break
		sleep 0.7
	done
	if [ $told -eq 20 ]; then
		fail "$1 did not stop, told $told times"
		kill -KILL "$(cat "$D/again.pid")"
	fi
	wait "$(cat "$D/again.pid")" || fail "$1 ended with status $?, told $told times"
}
check_stop_told_again controller 127.0.1.1:$CONTROL
check_stop_told_again gateway 127.0.2.1:$CALLERS
[ "$bad" -eq 0 ] && echo "site stop: ok"
