#!/bin/sh
# Guards against requests that are sent one after the other without reading the replies.
set -u
cd "$(dirname "$0")/.."
. regress/site_crowd.sh
crowd_start
crowd c1 --kind get --count 200 --repeat 3000 --path /api/config/get
check c1
crowd g1 --kind get --count 200 --repeat 3000 --path /q/0000000000000001
check g1
crowd g1 --address "127.0.2.1:$HEALTH" --kind get --count 200 --repeat 3000 --path /api/ready
check g1
echo "crowd pipelined: $([ $bad -eq 0 ] && echo ok || echo failed)"
