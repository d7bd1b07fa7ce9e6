#!/bin/sh
# Runs a small site on loopback: three state processes, two entry processes, stand-ins
# for upstreams and workers. Serves a request and a batch job, then stops everything.
set -eu
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SITE_DIR=$(mktemp -d)
SITE_PORT=${SITE_PORT:-23000}
. examples/site.sh
trap 'site_stop; rm -rf "$SITE_DIR"' EXIT
control1=127.0.0.1:$(site_port control e1)
control2=127.0.0.1:$(site_port control e2)
callers1=127.0.0.1:$(site_port callers e1)
callers2=127.0.0.1:$(site_port callers e2)

echo "starting 3 state processes and 2 entry processes"
site_start

echo "loading the Guild's vocabulary and service, in its own words"
site_put e1 guild $SITE_TOKEN vocabulary 0 'kinds: {desk: service, run: job, area: zone}
fields: {chairs: slots, hands: tasks, order: command, needs: cpus, room: memory_mb}'
site_put e2 guild $SITE_TOKEN desk/gigdesk 0 'chairs: 8'

echo "starting 4 upstreams and 8 workers"
site_spawn upstream "$BUILD/bin/upstream" --listen 127.0.0.1:$((SITE_PORT + 70)) --count 4 \
	--control "$control1" --control "$control2" --team guild --service gigdesk \
	--name gig --zone joburg-a --slots 8 --service-ms 5
site_spawn worker "$BUILD/bin/worker" --count 8 --control "$control1" --control "$control2" \
	--zone joburg-a --name w
ask() {
	curl -sf -m 5 "http://$1/guild/gigdesk/tariff?fee=120"
}
site_until 10 ask "$callers1"
site_until 10 ask "$callers2"
echo "request at entry 1:"
curl -s -i -m 5 "http://$callers1/guild/gigdesk/tariff?fee=120" | tr -d '\r' |
	grep -iE '^HTTP|^carawayfront-run'
echo "the same booking sent to both entries with one key:"
for c in "$callers1" "$callers2"; do
	curl -s -i -m 5 -H 'Idempotency-Key: booking-17' --data 'hall=3' \
		"http://$c/guild/gigdesk/bookings" | tr -d '\r' |
		grep -iE '^HTTP|^carawayfront-run|^idempotent-replayed'
done

echo "submitting a batch job of 4 tasks:"
curl -s -m 10 -H "Authorization: Bearer $SITE_TOKEN" -H 'Request-Id: demo-1' \
	--data '{"hands": 4, "order": "sleep:0.5", "needs": 1, "room": 512}' \
	"http://$control2/v1/jobs/guild?name=shelf-check"
job_done() {
	curl -s -m 5 -H "Authorization: Bearer $SITE_TOKEN" \
		"http://$control1/v1/jobs/guild/shelf-check" | grep -q '"state":"done","revision"'
}
site_until 30 job_done
echo "outcome read at entry 1:"
curl -s -m 5 -H "Authorization: Bearer $SITE_TOKEN" \
	"http://$control1/v1/jobs/guild/shelf-check" | cut -c1-150

echo "stopping: every process must end by itself with status 0"
for p in upstream worker e1 e2 s3 s2 s1; do
	site_signal $p TERM
done
for p in e1 e2 s3 s2 s1; do
	site_wait $p || { echo "$p ended with status $?"; exit 1; }
done
echo "demonstration complete"
