#!/bin/sh
# Guards executors without admission control whose room shrinks and grows every 3.7 s: the
# same run as test_site_dag.sh, whose ledger check also covers the room.
SITE_PORT=${SITE_PORT:-25900} GUARDED=false ROOM_MS=3700 exec sh "$(dirname "$0")/test_site_dag.sh"
