#!/bin/sh
# Guards against a change of the configuration that is lost, or never taken, beside a crowd.
set -u
cd "$(dirname "$0")/.."
CONTROLLERS=3
. regress/site_crowd.sh
crowd_start
version=5
change() { put_conf $((version + 1)) && version=$((version + 1)); }
DURING=change
for n in c1 c2 c3 g1; do
	crowd $n --kind body --count 300 --declare 1000000 --bytes 999000 --path /api/config/replace \
		--hold-ms 2000
done
DURING=
until_ok 20 change || fail "no configuration is taken after the crowd"
conf_is $version || fail "version $version is lost: $(head -c 100 "$D/body")"
echo "newest version $version"
for n in c1 c2 c3 g1; do check $n; done
echo "crowd conf: $([ $bad -eq 0 ] && echo ok || echo failed)"
