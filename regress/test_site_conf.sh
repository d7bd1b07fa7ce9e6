#!/bin/sh
# Guards against a configuration that reverts, a change that two operators both win, a
# resend that counts twice, a change that is accepted and lost, and an entry process that
# is cut off and serves on, while state processes are killed, frozen, cut off and lose
# their disks, a second one right after the repair.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SITE_DIR=$(mktemp -d)
SITE_PORT=${SITE_PORT:-24400}
SITE_ENTRIES="e1 e2 e3"
SITE_PROXIED=1
. examples/site.sh
trap site_end EXIT
site_start || site_fail "site does not start"

put() { # ENTRY REVISION REQUEST-ID BODY
	SITE_REQUEST_ID=$3 site_put "$1" guild $SITE_TOKEN zone/joburg-a "$2" "$4"
}
revision_of() {
	sed -n 's/.*"revision":\([0-9]*\).*/\1/p'
}
# Reads the document at each entry all the time; the revisions must never go back.
watch_entry() {
	while :; do
		curl -s -m 2 -H "Authorization: Bearer $SITE_TOKEN" \
			"http://127.0.0.1:$(site_port control "$1")/v1/conf/guild/zone/joburg-a" |
			revision_of >>"$SITE_DIR/seen.$1"
		sleep 0.05
	done
}
last=$(put e1 0 first 'state: in' | revision_of)
[ -n "$last" ] || site_fail "first change is not accepted"
for e in $SITE_ENTRIES; do
	watch_entry $e &
	echo $! >"$SITE_DIR/watch-$e.pid"
done

# Two operators with equal numbers at two entry processes: exactly one wins.
race() { # ROUND
	put e1 "$last" "a$1" "{state: in} # a$1" >"$SITE_DIR/a" &
	a=$!
	put e2 "$last" "b$1" "{state: in} # b$1" >"$SITE_DIR/b" &
	wait $a $!
	won=$(grep -L error "$SITE_DIR/a" "$SITE_DIR/b" | wc -l)
	[ "$won" = 1 ] || site_fail "round $1: $won operators won: $(cat "$SITE_DIR/a" "$SITE_DIR/b")"
	winner=$(grep -L error "$SITE_DIR/a" "$SITE_DIR/b")
	grep -q "version conflict.*# $(basename "$winner")$1" "$SITE_DIR/a" "$SITE_DIR/b" ||
		site_fail "round $1: the conflict does not show the winner"
	last=$(revision_of <"$winner")
}
change() { # NAME: one accepted change, resent under the same id until it is answered
	for try in 1 2 3 4 5; do
		r=$(put e3 "$last" "$1" "{state: out} # $1")
		case $r in
		*error*) sleep 0.3 ;;
		*revision*) break ;;
		esac
	done
	new=$(echo "$r" | revision_of)
	case $r in *error*) site_fail "change $1 is not accepted: $r" ;; esac
	again=$(put e1 "$last" "$1" "{state: out} # $1")
	[ "$again" = "{\"revision\":$new}" ] || site_fail "resend of $1 gave $again after $new"
	last=$new
}
in_force() { # every healthy entry process shows the last change within 4 s
	for e in $SITE_ENTRIES; do
		site_until 4 sh -c "[ \"\$(tail -n 1 $SITE_DIR/seen.$e)\" = $last ]" ||
			site_fail "revision $last is not in force at $e after 4 s"
	done
}
for i in 1 2 3 4 5; do
	race $i
done
in_force
echo "races: ok, revision $last"

leader=$(site_leader)
site_signal "$leader" KILL
change kill-leader
site_run "$leader"
in_force
echo "leader killed: ok, revision $last"

sleep 1
leader=$(site_leader)
site_signal "$leader" STOP
change freeze-leader
site_signal "$leader" CONT
in_force
echo "leader frozen: ok, revision $last"

sleep 1
leader=$(site_leader)
site_isolate cut "$leader"
change cut-leader
site_isolate heal "$leader"
in_force
echo "leader cut off: ok, revision $last"

# A voter loses its disk and is admitted again; then another one is lost at once.
is_voter() {
	curl -s -m 2 "http://127.0.0.1:$(site_port control e1)/v1/members" |
		grep -q "\"name\":\"$1\",\"voter\":true"
}
sleep 1
leader=$(site_leader)
lost=s1
[ "$leader" = s1 ] && lost=s2
site_signal $lost KILL
rm -rf "$SITE_DIR/$lost.data"
change lost-disk
site_run $lost
replaced() {
	grep -c 'role=follower' "$SITE_DIR/$lost.log" | grep -qv "^$followers$" && is_voter $lost
}
followers=$(grep -c 'role=follower' "$SITE_DIR/$lost.log")
site_until 15 replaced || site_fail "$lost is not admitted again"
site_signal "$leader" KILL
change second-loss
site_run "$leader"
in_force
echo "disk lost, then a second VM: ok, revision $last"

# An entry process that is cut off must stop serving within 4 s; the others go on.
site_isolate cut e3
unhealthy() {
	! site_healthy e3
}
site_until 4 unhealthy || site_fail "e3 serves on although it is cut off"
r=$(put e1 "$last" while-cut '{state: in} # while-cut')
last=$(echo "$r" | revision_of)
code=$(curl -s -o "$SITE_DIR/refused" -w '%{http_code}' -m 2 \
	"http://127.0.0.1:$(site_port callers e3)/guild/gigdesk/x")
[ "$code" = 503 ] && grep -q '"run":"not-run"' "$SITE_DIR/refused" ||
	site_fail "e3 answers $code while it is cut off: $(cat "$SITE_DIR/refused")"
site_isolate heal e3
site_until 5 site_healthy e3 || site_fail "e3 does not come back"
in_force
echo "entry cut off: ok, revision $last"

for e in $SITE_ENTRIES; do
	kill "$(cat "$SITE_DIR/watch-$e.pid")"
	awk 'NF { if ($1 < last) { print "reverted from " last " to " $1; bad = 1 } last = $1; n++ }
		END { print n " reads, last revision " last; exit bad }' "$SITE_DIR/seen.$e" ||
		site_fail "configuration reverted at $e"
done
echo "site configuration: ok"
