#!/bin/sh
# Measures real processes on loopback. Prints: name value unit baseline ratio.
# The baseline of a request figure is the same load sent to the upstream directly.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SITE_DIR=$(mktemp -d)
SITE_PORT=${SITE_PORT:-26000}
. examples/site.sh
trap site_end EXIT
ticks=$(getconf CLK_TCK)

row() { # NAME VALUE UNIT [BASELINE]
	awk -v n="$1" -v v="$2" -v u="$3" -v b="${4:--}" 'BEGIN {
		r = (b == "-" || b + 0 == 0) ? "-" : sprintf("%.3f", v / b)
		printf "%s %.6g %s %s %s\n", n, v, u, b, r }'
}
cpu_ticks() { # NAME
	awk '{ print $14 + $15 }' "/proc/$(cat "$SITE_DIR/$1.pid")/stat"
}
rss_kb() {
	awk '/^VmRSS/ { print $2 }' "/proc/$(cat "$SITE_DIR/$1.pid")/status"
}
metric() { # NAME METRIC
	curl -s "http://127.0.0.1:$(site_port control "$1")/metrics" | awk -v m="$2" '$1 == m { print $2 }'
}
field() { # FILE PATH-REGEX
	sed -n "s/^ *\"$2\": \([0-9.]*\),*/\1/p" "$1" | head -n 1
}
# load NAME OPTION...: runs a load; sets done, rps, p50, p99.
load() {
	name=$1
	shift
	"$BUILD/bin/loadgen" --duration 4 --team guild --service gigdesk --answer 500 \
		--timeout-ms 10000 "$@" >"$SITE_DIR/$name.json"
	done=$(field "$SITE_DIR/$name.json" done)
	seconds=$(field "$SITE_DIR/$name.json" seconds)
	rps=$(awk "BEGIN { print $done / $seconds }")
	p50=$(field "$SITE_DIR/$name.json" p50_ms)
	p99=$(field "$SITE_DIR/$name.json" p99_ms)
}
via_entry() { # NAME OPTION...: the same through entry 1, with its CPU time
	before=$(cpu_ticks e1)
	load "$@"
	after=$(cpu_ticks e1)
	row "$1.rate" "$rps" 1/s "$direct_rps"
	row "$1.p50" "$p50" ms "$direct_p50"
	row "$1.p99" "$p99" ms "$direct_p99"
	row "$1.entry_cpu" "$(awk "BEGIN { print ($after - $before) * 1e6 / $ticks / ($done + 1) }")" us/request
}

SITE_ENTRIES="e1 e2"
site_arguments
site_start || exit 1
site_spawn upstream "$BUILD/bin/upstream" --listen 127.0.0.1:$((SITE_PORT + 70)) --count 8 \
	$controls --team guild --service gigdesk --name gig --zone joburg-a --slots 8 --service-ms 2
site_serves guild/gigdesk
entry="--entry 127.0.0.1:$(site_port callers e1)"
load direct --direct --entry 127.0.0.1:$((SITE_PORT + 70)) --concurrency 6 --post 0
direct_rps=$rps
direct_p50=$p50
direct_p99=$p99
row request.direct.rate "$rps" 1/s
via_entry request.get $entry --concurrency 6 --post 0
via_entry request.post $entry --concurrency 6 --post 1 --unkeyed 1
via_entry request.keyed $entry --concurrency 6 --post 1
load saturated $entry --concurrency 48 --post 0
row request.get.saturated_rate "$rps" 1/s "$direct_rps"

# Memory for each open connection of a caller.
sleep 6
base=$(rss_kb e1)
load wide $entry --concurrency 600 --post 0 &
sleep 2.5
wide=$(rss_kb e1)
wait $!
sleep 6
row entry.memory_after_600_callers "$(awk "BEGIN { print $(rss_kb e1) / 1024 }")" MB 32
row entry.memory_with_600_callers "$(awk "BEGIN { print $wide / 1024 }")" MB 32
row entry.memory_before "$(awk "BEGIN { print $base / 1024 }")" MB 32

# Idle cost: announcements of 8 upstreams, heartbeats, freshness.
idle() { # NAME
	c0=$(cpu_ticks "$1")
	i0=$(metric "$1" carawayfront_rpc_received_bytes_total)
	o0=$(metric "$1" carawayfront_rpc_sent_bytes_total)
	sleep 5
	c1=$(cpu_ticks "$1")
	i1=$(metric "$1" carawayfront_rpc_received_bytes_total)
	o1=$(metric "$1" carawayfront_rpc_sent_bytes_total)
	row "idle.$1.cpu" "$(awk "BEGIN { print ($c1 - $c0) * 100 / $ticks / 5 }")" %core 1.2
	row "idle.$1.rpc_bytes" "$(awk "BEGIN { print (($i1 - $i0) + ($o1 - $o0)) / 5 }")" B/s 20000
	row "idle.$1.memory" "$(awk "BEGIN { print $(rss_kb "$1") / 1024 }")" MB 32
}
leader=$(site_leader)
idle "$leader"
for s in $SITE_STATE; do
	[ "$s" = "$leader" ] || { idle "$s"; break; }
done
idle e1

# Time until a change is in force at every entry process.
seen_at() {
	curl -s -m 2 -H "Authorization: Bearer $SITE_TOKEN" \
		"http://127.0.0.1:$(site_port control "$1")/v1/conf/guild/zone/z" | grep -q "\"revision\":$2,"
}
revision=0
total=0
for i in 1 2 3 4 5 6 7 8 9 10; do
	start=$(date +%s%6N)
	revision=$(site_put e1 guild $SITE_TOKEN zone/z "$revision" "state: in # $i" | sed -n 's/.*"revision":\([0-9]*\).*/\1/p')
	for e in $SITE_ENTRIES; do
		while ! seen_at $e "$revision"; do :; done
	done
	total=$((total + $(date +%s%6N) - start))
done
row conf.in_force_everywhere "$(awk "BEGIN { print $total / 10 / 1000 }")" ms 4000

# Workers: cost of polls at three counts.
for n in 65 130 260; do
	site_spawn worker "$BUILD/bin/worker" --count $n $controls --zone joburg-a --name "w$n" --poll-ms 400
	sleep 2
	l0=$(cpu_ticks "$leader")
	e0=$(cpu_ticks e1)
	b0=$(metric "$leader" carawayfront_rpc_received_bytes_total)
	sleep 5
	l1=$(cpu_ticks "$leader")
	e1=$(cpu_ticks e1)
	b1=$(metric "$leader" carawayfront_rpc_received_bytes_total)
	row "workers.$n.leader_cpu" "$(awk "BEGIN { print ($l1 - $l0) * 100 / $ticks / 5 }")" %core 1.2
	row "workers.$n.entry_cpu" "$(awk "BEGIN { print ($e1 - $e0) * 100 / $ticks / 5 }")" %core 1.2
	row "workers.$n.leader_bytes" "$(awk "BEGIN { print ($b1 - $b0) / 5 }")" B/s 20000
	row "workers.$n.leader_memory" "$(awk "BEGIN { print $(rss_kb "$leader") / 1024 }")" MB 32
	site_signal worker TERM
	sleep 7
done

# Upstreams: cost of announcements at three counts.
for n in 65 130 200; do
	site_spawn many "$BUILD/bin/upstream" --listen 127.0.0.1:$((SITE_PORT + 500)) --count $n \
		$controls --team pinecrest --service counter-desk --name "many$n" --zone se-athens --slots 8
	sleep 2
	c0=$(cpu_ticks e1)
	b0=$(metric e1 carawayfront_rpc_received_bytes_total)
	sleep 5
	c1=$(cpu_ticks e1)
	b1=$(metric e1 carawayfront_rpc_received_bytes_total)
	row "upstreams.$n.entry_cpu" "$(awk "BEGIN { print ($c1 - $c0) * 100 / $ticks / 5 }")" %core 1.2
	row "upstreams.$n.entry_bytes" "$(awk "BEGIN { print ($b1 - $b0) / 5 }")" B/s 20000
	row "upstreams.$n.entry_memory" "$(awk "BEGIN { print $(rss_kb e1) / 1024 }")" MB 32
	site_signal many TERM
	sleep 3
done
