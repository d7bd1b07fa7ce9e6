#!/bin/sh
# Guards against memory that grows with the number of bodies that are not completed, each
# within the limit of one request.
set -u
cd "$(dirname "$0")/.."
. regress/site_crowd.sh
crowd_start
for n in c1 g1; do
	crowd $n --kind body --count 300 --declare 1000000 --bytes 999000 --path /q/1
	check $n
done
echo "crowd unfinished: $([ $bad -eq 0 ] && echo ok || echo failed)"
