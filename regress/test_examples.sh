#!/bin/sh
# Guards against example documents that their own vocabulary refuses. The file names
# are WORD-NAME.yaml.
set -u
C=${BUILD:-build}/bin/carawayctl
bad=0
for site in guild pinecrest; do
	d=examples/$site
	"$C" -n -T $site vocabulary put $d/vocabulary.yaml || bad=1
	for f in $d/*-*.yaml; do
		base=$(basename "$f" .yaml)
		"$C" -n -T $site -V $d/vocabulary.yaml conf put "${base%%-*}" "${base#*-}" "$f" || bad=1
	done
done
for f in examples/guild/run-*.yaml examples/pinecrest/booking-*.yaml; do
	site=$(basename "$(dirname "$f")")
	"$C" -n -T $site -V examples/$site/vocabulary.yaml job submit "$f" || bad=1
done
# A word of one team is no word of the other, or has another meaning there.
for f in examples/guild/hold-standing.yaml examples/guild/booking-gigdesk.yaml; do
	base=$(basename "$f" .yaml)
	"$C" -n -T pinecrest -V examples/pinecrest/vocabulary.yaml conf put "${base%%-*}" x "$f" \
		2>/dev/null && { echo "$f is valid in the wrong team"; bad=1; }
done
for f in examples/*/settings/*.yaml examples/local/*.yaml; do
	"${BUILD:-build}/bin/carawayfrontd" -n -c "$f" >/dev/null || bad=1
done
exit $bad
