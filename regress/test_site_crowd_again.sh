#!/bin/sh
# Guards against memory that is neither released nor used again: a second crowd needs no
# more than the first one, within a tenth.
set -u
cd "$(dirname "$0")/.."
. regress/site_crowd.sh
crowd_start
for n in c1 g1; do
	for kind in body chunked; do
		crowd $n --kind $kind --count 300 --declare 1000000 --bytes 999000 --path /q/1
		crowd_gone $n
		first=$(memory $n VmHWM)
		echo 5 >"/proc/$(cat "$D/$n.pid")/clear_refs"
		crowd $n --kind $kind --count 300 --declare 1000000 --bytes 999000 --path /q/1
		second=$(memory $n VmHWM)
		echo "$n: $kind $first kB, then $second kB"
		[ "$second" -le $((first + first / 10)) ] || fail "$n used $first kB, then $second kB"
		check $n
		echo 5 >"/proc/$(cat "$D/$n.pid")/clear_refs"
	done
done
echo "crowd again: $([ $bad -eq 0 ] && echo ok || echo failed)"
