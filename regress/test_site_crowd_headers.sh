#!/bin/sh
# Guards against slow headers that take the memory or the connections for good.
set -u
cd "$(dirname "$0")/.."
. regress/site_crowd.sh
crowd_start
for n in c1 g1; do
	crowd $n --kind header --count 500 --bytes 15000 --piece 2500 --pace-ms 500
	check $n
done
echo "crowd headers: $([ $bad -eq 0 ] && echo ok || echo failed)"
