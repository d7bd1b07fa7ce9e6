#!/bin/sh
# Guards against faults that need several disturbances at once: 5 controllers, 2 gateways,
# executors, callers and operators, while processes are stopped, killed, paused and given
# other settings, data directories are lost and connections are cut, in series drawn from
# SEED for SECONDS. Some clients keep connections until a process closes them.
# SEED and SECONDS come from the environment, and so may the numbers of processes; a failed
# run is repeated with the same.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SEED=${SEED:-1}
SECONDS=${SECONDS:-20}
PORT=${SITE_PORT:-26000}
GRACE_S=6 # a planned stop may take so long
D=$(mktemp -d)
RPC=$PORT CONTROL=$((PORT + 1)) CALLERS=$((PORT + 2)) HEALTH=$((PORT + 3))
PROXY=127.0.9.1:$((PORT + 4))
names() { # PREFIX COUNT
	seq -f "$1%g" "$2" | tr '\n' ' '
}
N_CONTROLLERS=${CONTROLLERS:-5}
N_GATEWAYS=${GATEWAYS:-2}
N_EXECUTORS=${EXECUTOR_PROCESSES:-3}
DAEMONS="$(names c "$N_CONTROLLERS")$(names g "$N_GATEWAYS")"
EXECUTORS=$(names x "$N_EXECUTORS")
. regress/site_checks.sh
. regress/soak_site.sh
trap soak_end EXIT
echo "site soak: SEED=$SEED SECONDS=$SECONDS"

soak_start || exit 1
soak_operator 1 &
operators=$!
soak_operator 2 &
operators="$operators $!"
soak_operator_at_events 3 &
operators="$operators $!"
soak_keep_open
for k in 1 2; do
	soak_spawn r$k "$BUILD/bin/jobcaller" --gateway 127.0.5.1:$CALLERS \
		--gateway "127.0.5.$N_GATEWAYS:$CALLERS" --number $k --seed "$SEED" \
		--seconds "$SECONDS" --settle 25 --ledger "$D/callers"
done
soak_disturb
touch "$D/calm"
for k in 1 2; do
	soak_until 40 [ -e "$D/r$k.status" ] || soak_fail "caller r$k did not end"
done
for o in $operators; do wait "$o"; done
soak_read_back
soak_stop_all
for k in k1 k2 k3 k4 k5; do soak_is_alive $k && soak_term $k && tail -n 1 "$D/$k.log"; done
check_graph_jobs "$D/ledger" "$D/callers" || soak_fail "ledgers of jobs"
check_closed_zones "$D/ledger" "$D/zones" || soak_fail "starts in a closed zone"
check_conf "$D/conf" || soak_fail "configuration"
soak_check_sizes
[ -e "$D/failed" ] || echo "site soak: ok, SEED=$SEED"
[ ! -e "$D/failed" ]
