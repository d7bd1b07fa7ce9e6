#!/bin/sh
# Guards against an operator's order that a paused controller carries out after newer ones:
# a zone that is taken back by an order that was given up. First a follower is paused,
# then the leader.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SEED=2
SECONDS=25
PORT=${SITE_PORT:-27000}
GRACE_S=6
D=$(mktemp -d)
RPC=$PORT CONTROL=$((PORT + 1)) CALLERS=$((PORT + 2)) HEALTH=$((PORT + 3))
PROXY=127.0.9.1:$((PORT + 4))
names() { # PREFIX COUNT
	seq -f "$1%g" "$2" | tr '\n' ' '
}
N_CONTROLLERS=5
N_GATEWAYS=1
N_EXECUTORS=3
DAEMONS="$(names c "$N_CONTROLLERS")$(names g "$N_GATEWAYS")"
EXECUTORS=$(names x "$N_EXECUTORS")
. regress/site_checks.sh
. regress/soak_site.sh
trap soak_end EXIT

# The zone z1 is closed; NAME is paused, gets the order to open it, and goes on once another
# controller has opened it and closed it again.
paused_order() { # NAME
	number=${1#c}
	other=$((number % N_CONTROLLERS + 1))
	kill -STOP "$(soak_pid "$1")"
	[ "$(soak_control "$number" POST /api/evacuate/z1/finish "$D/given-up")" = 200 ] &&
		soak_fail "$1 answers while it is paused"
	soak_until 10 soak_zone $other finish || soak_fail "z1 cannot be opened"
	soak_until 10 soak_zone $other start || soak_fail "z1 cannot be closed"
	echo "closed z1 $(soak_ms)" >>"$D/zones"
	sleep 1
	kill -CONT "$(soak_pid "$1")"
	sleep 8
	echo "opening z1 $(soak_ms)" >>"$D/zones"
}
soak_zone() { # CONTROLLER VERB
	[ "$(soak_control "$1" POST "/api/evacuate/z1/$2" "$D/zone")" = 200 ]
}
leader() { # the controller that began to lead last
	grep -h 'event=leading-started' "$D"/c*.log | sort | tail -n 1 |
		sed 's/.*process=\(c[0-9]*\).*/\1/'
}

soak_start || exit 1
soak_spawn r1 "$BUILD/bin/jobcaller" --gateway 127.0.5.1:$CALLERS --gateway 127.0.5.1:$CALLERS \
	--number 1 --seed $SEED --seconds $SECONDS --settle 25 --ledger "$D/callers"
soak_until 10 soak_zone 1 start || soak_fail "z1 cannot be closed"
led=$(leader)
[ -n "$led" ] || soak_fail "no controller leads"
follower=c$((${led#c} % N_CONTROLLERS + 1))
paused_order "$follower"
soak_until 10 soak_zone 1 start || soak_fail "z1 cannot be closed"
paused_order "$(leader)"
soak_until 40 [ -e "$D/r1.status" ] || soak_fail "the caller did not end"
soak_stop_all
check_graph_jobs "$D/ledger" "$D/callers" || soak_fail "ledgers of jobs"
check_closed_zones "$D/ledger" "$D/zones" || soak_fail "starts in a closed zone"
[ -e "$D/failed" ] || echo "site orders: ok"
[ ! -e "$D/failed" ]
