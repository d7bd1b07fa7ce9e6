#!/bin/sh
# Guards against a whole path that does not hold together: the demonstration serves a
# request and a job, stops gracefully, and replays a booking instead of running it again.
set -eu
cd "$(dirname "$0")/.."
out=$(SITE_PORT=24000 sh examples/demo.sh)
echo "$out"
echo "$out" | grep -q '^Idempotent-Replayed: true'
echo "$out" | grep -q '"state":"done"'
echo "$out" | grep -q '^demonstration complete'
