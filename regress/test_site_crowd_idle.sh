#!/bin/sh
# Guards against more idle connections than the limit, which keep ordinary callers out while
# they last.
set -u
cd "$(dirname "$0")/.."
. regress/site_crowd.sh
crowd_start
# Beside them, so only while they fill most of the limit.
during() {
	[ -e "$D/served" ] && return
	[ "$(descriptors $n)" -ge 400 ] || return
	serves $n && [ "$(descriptors $n)" -ge 400 ] && echo $n >"$D/served"
}
for n in c1 g1; do
	rm -f "$D/served"
	DURING=during
	crowd $n --kind idle --count 900 --hold-ms 20000 --limit-s 40
	DURING=
	[ -e "$D/served" ] || fail "$n answers nothing beside idle connections"
	check $n
done
echo "crowd idle: $([ $bad -eq 0 ] && echo ok || echo failed)"
