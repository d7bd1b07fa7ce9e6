#!/bin/sh
# Guards against memory that grows with chunked bodies that never end.
set -u
cd "$(dirname "$0")/.."
. regress/site_crowd.sh
crowd_start
for n in c1 g1; do
	crowd $n --kind chunked --count 200 --bytes 3000000 --path /q/1
	check $n
done
echo "crowd chunked: $([ $bad -eq 0 ] && echo ok || echo failed)"
