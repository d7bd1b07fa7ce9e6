#!/bin/sh
# Guards against memory that grows with the number of small bodies that are not completed.
set -u
cd "$(dirname "$0")/.."
CONNECTIONS=2100
. regress/site_crowd.sh
crowd_start
for n in c1 g1; do
	crowd $n --kind body --count 2000 --declare 70000 --bytes 60000 --path /q/1
	check $n
done
echo "crowd small: $([ $bad -eq 0 ] && echo ok || echo failed)"
