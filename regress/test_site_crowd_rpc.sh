#!/bin/sh
# Guards against rubbish at the RPC port of the leader that takes its memory, its descriptors
# or its leadership.
set -u
cd "$(dirname "$0")/.."
CONTROLLERS=3
CONNECTIONS=256
. regress/site_crowd.sh
crowd_start
roles() { cat "$D"/c?.log | grep -c 'event=role-changed'; }
leads() { grep -E 'event=leading-(started|ended)' "$D/$1.log" | tail -n 1 | grep -q leading-started; }
leader=
for i in 1 2 3; do leads c$i && leader=c$i; done
[ "$leader" ] || fail "nobody leads"
before=$(roles)
address=127.0.1.${leader#c}:$RPC
crowd "$leader" --address "$address" --kind record --count 300 --declare 4194000 --bytes 900000
check "$leader"
crowd "$leader" --address "$address" --kind noise --count 300 --bytes 900000
check "$leader"
crowd "$leader" --address "$address" --kind idle --count 1200
check "$leader"
crowd g1 --address "127.0.2.1:$RPC" --kind record --count 300 --declare 4194000 --bytes 900000
check g1
[ "$(roles)" = "$before" ] || fail "roles changed $(($(roles) - before)) times"
echo "crowd rpc: $([ $bad -eq 0 ] && echo ok || echo failed)"
