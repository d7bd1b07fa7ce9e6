#!/bin/sh
# Guards against bodies above max-body that are kept, or read to an end that never comes.
set -u
cd "$(dirname "$0")/.."
. regress/site_crowd.sh
crowd_start
for n in c1 g1; do
	crowd $n --kind body --count 300 --declare 4000000000 --bytes 1500000 --path /q/1
	check $n
done
# Their announcement is enough to refuse them: nobody needs to send the body.
refused() { # NAME
	[ "$(status -H 'Expect:' -H 'Content-Length: 4000000000' -d x "http://$(port_of "$1")/q/1")" = 413 ]
}
for n in c1 g1; do
	refused $n || fail "$n does not refuse an announced body with 413"
done
echo "crowd announced: $([ $bad -eq 0 ] && echo ok || echo failed)"
