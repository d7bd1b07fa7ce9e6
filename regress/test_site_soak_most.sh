#!/bin/sh
# Guards against faults that only a site with nine processes of each kind shows.
set -u
cd "$(dirname "$0")"
export CONTROLLERS=9 GATEWAYS=9 EXECUTOR_PROCESSES=9
export SECONDS="${SECONDS:-10}" SITE_PORT="${SITE_PORT:-26200}"
exec sh ./test_site_soak.sh
