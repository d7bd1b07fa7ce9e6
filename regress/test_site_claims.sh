#!/bin/sh
# Guards against a keyed booking that runs twice when the entry process that took it is
# killed before the send, between send and answer, and after the answer, and against a
# refusal that says "not run" of a booking that ran.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SITE_PORT=${SITE_PORT:-24800}
SITE_PROXIED=1
. examples/site.sh
site_memory_dir # its bounds are not about the disk: test_site_stalled_disk.sh
trap site_end EXIT
site_arguments
site_start || site_fail "site does not start"
ledger=$SITE_DIR/upstream.ledger
: >"$ledger"
# Entry processes reach the upstream through a proxy: it announces the proxy's address
# through this script, not its own.
up=$((SITE_PORT + 70))
via=$((SITE_PORT + 72))
site_spawn upstream "$BUILD/bin/upstream" --listen 127.0.0.1:$up --team guild \
	--service gigdesk --name gig --zone joburg-a --slots 8 --service-ms 1000 \
	--ledger "$ledger" --ledger-starts
site_spawn uproxy "$BUILD/bin/faultproxy" --control 127.0.0.1:$((SITE_PORT + 79)) \
	--pair up=127.0.0.1:$via=127.0.0.1:$up
fault() {
	curl -s "http://127.0.0.1:$((SITE_PORT + 79))/$1" >/dev/null
}
announce() {
	n=0
	while :; do
		n=$((n + 1))
		for e in $SITE_ENTRIES; do
			curl -s -m 1 -X PUT --data "{\"team\":\"guild\",\"service\":\"gigdesk\",
				\"address\":\"127.0.0.1:$via\",\"zone\":\"joburg-a\",\"slots\":8,
				\"state\":\"ready\",\"load\":0,\"incarnation\":1,\"sequence\":$n}" \
				"http://127.0.0.1:$(site_port control $e)/v1/upstreams/gig" >/dev/null
		done
		sleep 0.3
	done
}
announce &
echo $! >"$SITE_DIR/announce.pid"
site_serves guild/gigdesk
# An entry of another writer that names no upstream is refused, and harms nothing.
odd() { # ADDRESS INCARNATION: prints the status
	curl -s -m 1 -o /dev/null -w '%{http_code}' -X PUT --data "{\"team\":\"guild\",
		\"service\":\"gigdesk\",\"address\":\"$1\",\"zone\":\"joburg-a\",\"slots\":8,
		\"state\":\"ready\",\"load\":0,\"incarnation\":$2,\"sequence\":1}" \
		"http://127.0.0.1:$(site_port control e1)/v1/upstreams/odd"
}
for address in 127.0.0.1:99999 127.0.0.1:65536 127.0.0.1:0 127.0.0.1 host.example:80; do
	[ "$(odd $address 1)" = 400 ] || site_fail "an upstream at $address is taken"
done
for incarnation in -1 99999999999999999999 '"1"' \
	"$(head -c 5000 /dev/zero | tr '\0' '[')"; do
	[ "$(odd 127.0.0.1:$via "$incarnation")" = 400 ] ||
		site_fail "an incarnation of another type is taken"
done
# book ENTRY KEY [BODY]: prints "STATUS RUN REASON"; the answer's body is in
# $SITE_DIR/body-ENTRY. Two may run at a time at different entry processes.
book() {
	curl -s -m 8 -D "$SITE_DIR/head-$1" -o "$SITE_DIR/body-$1" -H "Idempotency-Key: $2" \
		-H 'Carawayfront-Deadline-Ms: 3000' --data "${3:-hall=3}" \
		"http://127.0.0.1:$(site_port callers "$1")/guild/gigdesk/book/$2" || true
	tr -d '\r' <"$SITE_DIR/head-$1" | awk '
		/^HTTP/ { s = $2 } tolower($1) == "carawayfront-run:" { r = $2 }
		tolower($1) == "carawayfront-reason:" { w = $2 }
		tolower($1) == "idempotent-replayed:" { w = "replayed" } END { print s, r, w }'
	: >"$SITE_DIR/head-$1"
}
runs() {
	grep -c "/book/$1 .* start$" "$ledger"
}
has_started() { # KEY
	[ "$(runs "$1")" -ge 1 ]
}
# accepted: connections that the upstream's proxy has accepted.
accepted() {
	curl -s "http://127.0.0.1:$((SITE_PORT + 79))/stats/all" |
		sed -n 's/^up .* accepted \([0-9]*\) .*/\1/p'
}
has_connected() { # COUNT BEFORE
	[ "$(accepted)" -gt "$1" ]
}
expect() { # WHAT GOT PATTERN
	echo "$2" | grep -qE "$3" || site_fail "$1: got '$2', expected '$3'"
	echo "$1: $2"
}

expect "first booking" "$(book e1 plain)" '^200 done'
cp "$SITE_DIR/body-e1" "$SITE_DIR/body1"
expect "resend elsewhere" "$(book e2 plain)" '^200 done replayed'
cmp "$SITE_DIR/body-e2" "$SITE_DIR/body1" || site_fail "the replayed answer differs"
expect "key with another body" "$(book e2 plain hall=4)" '^422 not-run'
expect "runs" "$(runs plain)" '^1$'

book e1 slow >"$SITE_DIR/slow" &
slow=$!
site_until 5 has_started slow || site_fail "booking slow does not start"
expect "resend while it runs" "$(book e2 slow)" '^409 unknown|^409 not-run'
wait $slow
expect "the first one ends" "$(cat "$SITE_DIR/slow")" '^200 done'
expect "runs" "$(runs slow)" '^1$'

# Killed between send and answer.
book e1 killed >/dev/null &
site_until 5 has_started killed || site_fail "booking killed does not start"
site_signal e1 KILL
wait $!
expect "resend after the kill" "$(book e2 killed)" '^(409|502) unknown'
site_run e1
site_until 10 site_healthy e1 || site_fail "e1 does not come back"
settled() {
	book e2 killed | grep -q '^502 unknown'
}
site_until 20 settled || site_fail "the claim of a killed owner does not end: $(book e2 killed)"
expect "resend when the owner is gone" "$(book e1 killed)" '^502 unknown'
expect "runs" "$(runs killed)" '^1$'

# Killed after the claim and before the upstream received a byte.
fault hold/all
connections=$(accepted)
book e1 held >/dev/null &
site_until 5 has_connected "$connections" || site_fail "booking held is not sent"
site_signal e1 KILL
wait $!
fault reset/all
fault heal/all
expect "resend after the kill" "$(book e2 held)" '^(409|502) unknown'
site_run e1
site_until 10 site_healthy e1 || site_fail "e1 does not come back"

# Killed after the answer.
expect "booking" "$(book e1 answered)" '^200 done'
site_signal e1 KILL
expect "resend after the answer" "$(book e2 answered)" '^200 done replayed|^(409|502) unknown'
expect "runs" "$(runs answered)" '^1$'
site_run e1
site_until 10 site_healthy e1 || site_fail "e1 does not come back"

# Claim store out of reach: refused as not run, and it did not run.
for s in $SITE_STATE; do
	site_fault cut e2-$s
done
expect "claim store cut off" "$(book e2 cut)" '^50[34] not-run'
for s in $SITE_STATE; do
	site_fault heal e2-$s
done
site_until 10 site_healthy e2 || site_fail "e2 does not come back"
expect "runs" "$(runs cut)" '^0$'
for k in plain slow killed held answered cut; do
	[ "$(runs $k)" -le 1 ] || site_fail "booking $k ran $(runs $k) times"
done
echo "site claims: ok"
