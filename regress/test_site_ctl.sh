#!/bin/sh
# Guards against a tool and a daemon that do not understand each other: every command of
# carawayctl against a real site, exit statuses, changes that two operators make at once,
# resends, words and tokens of the other team, examples that cannot be loaded, and
# settings that are refused without a reason.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SITE_DIR=$(mktemp -d)
SITE_PORT=${SITE_PORT:-25400}
. examples/site.sh
trap site_end EXIT
site_start || site_fail "site does not start"

e1=127.0.0.1:$(site_port control e1)
e2=127.0.0.1:$(site_port control e2)
ctl="$BUILD/bin/carawayctl -a $e1,$e2"
guild="$ctl -t $SITE_TOKEN -T guild"
pinecrest="$ctl -t $SITE_TOKEN2 -T pinecrest"
out=$SITE_DIR/out

# want STATUS TEXT COMMAND...: exit status and a part of the output.
want() {
	status=$1
	text=$2
	shift 2
	timeout 60 "$@" >"$out" 2>&1
	got=$?
	[ $got = "$status" ] || site_fail "$* exits $got instead of $status: $(cat "$out")"
	grep -q -- "$text" "$out" || site_fail "$* does not say \"$text\": $(cat "$out")"
}
revision_of() { # WORD NAME
	$guild conf get "$1" "$2" | sed -n '1s/^# revision //p'
}

# The commands of docs/operating.md, "First settings".
commands_of() { # SITE
	sed -n "/^## First settings/,/^Check a document/p" docs/operating.md |
		sed -n "/^cd examples\/$1\$/,/^\`\`\`/p" | grep -v '^```'
}
for site in guild pinecrest; do
	commands_of $site >"$SITE_DIR/$site.sh"
	grep -q 'vocabulary put' "$SITE_DIR/$site.sh" || site_fail "no commands for $site"
	token=$SITE_TOKEN
	[ $site = pinecrest ] && token=$SITE_TOKEN2
	abs=$(cd "$BUILD/bin" && pwd)/carawayctl
	ctl="$abs -a $e1,$e2 -t $token -T $site" sh -eu "$SITE_DIR/$site.sh" >"$out" 2>&1 ||
		site_fail "examples of $site are not loaded: $(cat "$out")"
done
want 0 /guild/booking/gigdesk $guild conf list
want 0 /pinecrest/campus/se-knoxville $pinecrest conf list
echo "examples: ok"

want 0 "kinds:" $guild vocabulary get
want 0 "chairs: 8" $guild conf get booking gigdesk
want 0 "chairs: 8" $guild conf history booking gigdesk
want 1 "not found" $guild conf get booking nothing
want 1 "no such document" $guild conf delete booking nothing
want 0 "leader: s" $guild member list
want 2 "only list" $guild member add s4 127.0.0.1:1
want 0 "tasks_waiting" $guild workers
want 0 "serving" $guild health
want 5 "unreachable" $ctl,127.0.0.1:$((SITE_PORT + 98)) health
want 5 "" "$BUILD/bin/carawayctl" -a 127.0.0.1:$((SITE_PORT + 98)) -t x -T guild conf list
want 2 "a team is needed" $ctl -t $SITE_TOKEN conf list
want 0 "running\|waiting" $pinecrest job list
job=$($guild job submit examples/guild/run-standby-check.yaml) || site_fail "no job: $job"
want 0 "tasks_total: 24" $guild job show "$job"
want 1 "not found" $pinecrest job show "$job"
want 0 "$job" $guild job cancel "$job"
want 0 "state: cancelled" $guild job show "$job"
# A cancelled job that waited must leave the scheduler, which otherwise proposes the end
# of its tasks over and over.
last_index() {
	curl -s -m 5 "http://127.0.0.1:$(site_port control s1)/metrics" |
		sed -n 's/^carawayfront_last_index //p'
}
index=$(last_index)
sleep 1
grown=$(($(last_index) - index))
[ $grown -lt 100 ] || site_fail "the log grows by $grown entries in a second without work"

# Tokens: each mistake has its own text.
want 1 "TOKEN is missing" $ctl -T guild conf list
want 1 "belongs to no team" $ctl -t wrong -T guild conf list
want 1 "belongs to another team" $ctl -t $SITE_TOKEN2 -T guild conf list
want 1 "belongs to another team" $ctl -t $SITE_TOKEN2 -T guild zone out joburg-a
want 1 "belongs to another team" $ctl -t $SITE_TOKEN2 -T guild job list

# The words of one team are refused for the other, by -n and by the daemon.
for check in "" "-n -V examples/pinecrest/vocabulary.yaml"; do
	want 1 'field "chairs" is not known' $pinecrest $check conf put counter x \
		examples/guild/booking-gigdesk.yaml
	want 1 'word "house" is not in' $pinecrest $check conf put house x \
		examples/guild/house-joburg-a.yaml
done
: >"$SITE_DIR/empty"
want 1 "" $guild conf put booking gigdesk "$SITE_DIR/empty"
code=$(curl -s -o /dev/null -w '%{http_code}' -m 5 -X PUT -H "Authorization: Bearer $SITE_TOKEN" \
	"http://$e1/v1/conf/guild/booking/gigdesk")
[ "$code" = 400 ] || site_fail "a PUT without a body gives $code"
echo "refusals: ok"

# Two operators with equal numbers at two entry processes: one wins, one exits 3.
echo 'lights: out' >"$SITE_DIR/lights"
last=$(revision_of house joburg-a)
for e in $e1 $e2; do
	"$BUILD/bin/carawayctl" -a $e -t $SITE_TOKEN -T guild -m "$last" \
		conf put house joburg-a "$SITE_DIR/lights" >"$SITE_DIR/put-$e" 2>&1 &
	eval "pid_${e##*:}=$!"
done
eval "wait \$pid_${e1##*:}"
first=$?
eval "wait \$pid_${e2##*:}"
second=$?
case $first$second in
03 | 30) ;;
*) site_fail "two operators exit $first and $second" ;;
esac
cat "$SITE_DIR/put-$e1" "$SITE_DIR/put-$e2" >"$out"
grep -q "version conflict" "$out" && grep -q "lights: out" "$out" ||
	site_fail "the conflict does not show the winner: $(cat "$out")"

# A resend with the same request id has the first outcome, and makes no second change.
last=$(revision_of house midrand-b)
want 0 "" $guild -m "$last" -r again-1 conf put house midrand-b "$SITE_DIR/lights"
cp "$out" "$SITE_DIR/first"
want 0 "" $guild -m "$last" -r again-1 conf put house midrand-b "$SITE_DIR/lights"
cmp -s "$out" "$SITE_DIR/first" || site_fail "resend has another outcome: $(cat "$out")"
want 3 "version conflict" $guild -m "$last" -r again-2 conf put house midrand-b "$SITE_DIR/lights"

want 0 "" $guild zone in midrand-b
want 0 '"lights": "in"' $guild conf get house midrand-b
last=$(revision_of house midrand-b)
want 0 "" $guild conf delete hold standing
want 0 " deleted /guild/hold/standing" $guild --after "$last" --count 1 conf watch
want 0 "true" $guild conf history hold standing
echo "changes: ok"

site_spawn upstream "$BUILD/bin/upstream" --listen 127.0.0.1:$((SITE_PORT + 70)) --count 2 \
	--control $e1 --control $e2 --team guild --service gigdesk --name gig \
	--zone joburg-a --slots 8 --service-ms 5
listed() {
	$guild upstreams | grep -q "gig-2 *127.0.0.1:$((SITE_PORT + 71)) *joburg-a *8 .*ready"
}
site_until 10 listed || site_fail "upstreams are not listed: $($guild upstreams)"
want 0 "" $guild zone in joburg-a
site_serves guild/gigdesk
want 0 'carawayfront_request_duration_us{team="guild",class="latency"}' $guild stats
want 0 'carawayfront_requests_total{team=."guild' $guild -j stats
want 0 carawayfront_sync_duration_us \
	"$BUILD/bin/carawayctl" -a 127.0.0.1:$(site_port control s1) stats
# Every name of /metrics is on the operators' page.
for p in e1 s1 s2 s3; do
	curl -s -m 5 "http://127.0.0.1:$(site_port control $p)/metrics"
done | sed -n 's/^# TYPE \([a-z0-9_]*\) .*/\1/p' | sort -u >"$SITE_DIR/names"
[ "$(wc -l <"$SITE_DIR/names")" -gt 20 ] || site_fail "metrics are missing"
while read -r name; do
	grep -q "\`$name\`" docs/operating.md || site_fail "docs/operating.md lacks $name"
done <"$SITE_DIR/names"
echo "upstreams and metrics: ok"

# SIGHUP: a changed token is in force; a broken file changes nothing and is explained.
logged() {
	grep -q "$1" "$SITE_DIR/e1.log"
}
sed "s/$(site_sha256 $SITE_TOKEN)/$(site_sha256 new-token)/" "$SITE_DIR/e1.yaml" >"$SITE_DIR/new"
cp "$SITE_DIR/new" "$SITE_DIR/e1.yaml"
site_signal e1 HUP
site_until 5 logged 'reload-done' || site_fail "the changed settings are not read"
one="$BUILD/bin/carawayctl -a $e1 -T guild"
want 0 /guild/ $one -t new-token conf list
want 1 "belongs to no team" $one -t $SITE_TOKEN conf list
echo 'colour: red' >>"$SITE_DIR/e1.yaml"
line=$(wc -l <"$SITE_DIR/e1.yaml")
site_signal e1 HUP
site_until 5 logged "reload-refused.*line=$line key=colour.*expected=" ||
	site_fail "the broken settings are not explained"
want 0 /guild/ $one -t new-token conf list
want 1 "e1.yaml:$line: colour: .*expected" "$BUILD/bin/carawayfrontd" -n -c "$SITE_DIR/e1.yaml"
sed 's/^role: .*/role: boss/' "$SITE_DIR/new" >"$SITE_DIR/role.yaml"
want 1 "role.yaml:2: role: .*expected" "$BUILD/bin/carawayfrontd" -n -c "$SITE_DIR/role.yaml"
want 0 "settings are valid" "$BUILD/bin/carawayfrontd" -n -c "$SITE_DIR/new"
echo "settings: ok"

# Without a quorum a change is certainly not applied (1) or its outcome is unknown (4).
for s in s1 s2 s3; do
	site_signal $s KILL
done
timeout 100 $pinecrest -m 0 conf put campus new examples/pinecrest/campus-se-oxford.yaml >"$out" 2>&1
got=$?
case $got in
1) grep -q "status 503" "$out" ;;
4) grep -q -- "--request-id" "$out" ;;
*) false ;;
esac || site_fail "a change without a quorum exits $got: $(cat "$out")"
echo "site tool: ok, without a quorum status $got"
