#!/bin/sh
# Guards against malformed chunks that end the process or keep its memory.
set -u
cd "$(dirname "$0")/.."
. regress/site_crowd.sh
crowd_start
for n in c1 g1; do
	crowd $n --kind broken --count 300 --bytes 40000 --path /q/1
	crowd $n --kind noise --count 300 --bytes 20000
	check $n
done
crowd g1 --address "127.0.2.1:$HEALTH" --kind broken --count 300 --bytes 40000
check g1
echo "crowd broken: $([ $bad -eq 0 ] && echo ok || echo failed)"
