#!/bin/sh
# Guards against a job that a paused leader accepts after its cancel was answered with "no
# such job", or after its sender was told that the outcome is unknown.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SITE_DIR=$(mktemp -d)
SITE_PORT=${SITE_PORT:-25100}
SITE_STATE="s1"
SITE_ENTRIES="e1 e2"
. examples/site.sh
trap site_end EXIT
site_start || site_fail "site does not start"
job() { # ENTRY METHOD REQUEST-ID [PATH]: prints the status
	curl -s -m 10 -o "$SITE_DIR/body.$1" -w '%{http_code}' -X "$2" \
		-H "Authorization: Bearer $SITE_TOKEN" -H "Request-Id: $3" \
		--data "{tasks: 1, command: 'sleep:1', cpus: 1, memory_mb: 500}" \
		"http://127.0.0.1:$(site_port control "$1")/v1/jobs/guild${4:-}"
}
known() { # JOB: prints 200 or 404
	job e2 GET read "/$1"
}
abandoned() {
	grep -c 'event=request-abandoned' "$SITE_DIR/s1.log"
}
[ "$(job e1 POST first)" = 200 ] || site_fail "no job is accepted: $(cat "$SITE_DIR/body.e1")"
[ "$(known first)" = 200 ] || site_fail "an accepted job is not known"
for id in left-1 left-2 left-3 left-4 left-5; do
	[ "$(abandoned)" -ge 3 ] && break
	site_until 10 site_healthy e1 || site_fail "e1 does not serve"
	job e1 GET read /first >/dev/null
	site_signal s1 STOP
	job e1 POST $id >"$SITE_DIR/submitted" &
	submit=$!
	sleep 0.2
	site_signal e1 KILL
	wait $submit
	job e2 DELETE cancel-$id /$id >"$SITE_DIR/cancelled" &
	cancel=$!
	sleep 0.2
	site_signal s1 CONT
	wait $cancel
	cancelled=$(cat "$SITE_DIR/cancelled")
	case $cancelled in
	404) [ "$(known $id)" = 404 ] ||
		site_fail "job $id is known, its cancel was answered with 404" ;;
	200) ;;
	*) site_fail "the cancel of $id was answered with $cancelled" ;;
	esac
	site_run e1
done
[ "$(abandoned)" -ge 1 ] || site_fail "no request was given up"

# The entry process gives the job up and lives on.
site_until 10 site_healthy e1 || site_fail "e1 does not serve"
for id in late-1 late-2 late-3; do
	site_signal s1 STOP
	status=$(job e1 POST $id)
	site_signal s1 CONT
	[ "$status" = 502 ] || site_fail "job $id was answered with $status"
	sleep 1
	[ "$(known $id)" = 404 ] || site_fail "job $id was given up, and is known"
done
echo "site given up job: ok"
