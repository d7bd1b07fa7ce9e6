#!/bin/sh
# Guards against replies that wait for readers who do not read, without a bound.
set -u
cd "$(dirname "$0")/.."
CONF_BYTES=900000
. regress/site_crowd.sh
crowd_start
crowd c1 --kind get --count 300 --repeat 10 --path /api/config/get --hold-ms 3000
check c1
crowd c1 --address "127.0.1.1:$METRICS" --kind get --count 300 --path /metrics
check c1
crowd g1 --address "127.0.2.1:$METRICS" --kind get --count 300 --path /metrics
check g1
echo "crowd readers: $([ $bad -eq 0 ] && echo ok || echo failed)"
