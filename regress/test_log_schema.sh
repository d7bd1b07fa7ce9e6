#!/bin/sh
# Guards against events that operators cannot look up: each event that the roles gateway
# and controller log is described in docs/OPERATIONS.md, and each that is described there
# is logged.
set -u
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
{
	cat carawayfrontd/agent.c carawayfrontd/relay*.c carawayfrontd/gateway.c \
		carawayfrontd/controller*.c carawayfrontd/dag_client.c carawayfrontd/main.c \
		carawayfrontd/metrics_port.c carawayfrontd/state_disk.c \
		carawayfrontd/disk_host.c io/server_limits.c io/log.c |
		tr '\n' ' ' |
		grep -oE 'log_(info|warn|error|final|final_warn)\(([a-z]+ \? "[a-z-]+" : )?[[:space:]]*"[a-z-]+"' |
		grep -oE '"[a-z-]+"'
	cat core/dag_*.c | tr '\n' ' ' |
		grep -oE '(ds_log_run_event\(s,|ops->log_(event|final|org)\([[:space:]]*s->host,)[[:space:]]*"[a-z-]+"' |
		grep -oE '"[a-z-]+"'
	grep -oE 'event=[a-z]+(-[a-z]+)*' io/log.c | sed 's/event=\(.*\)/"\1"/'
} | tr -d '"' | sort -u >"$work/logged"
# The names in the first column of the table of events.
sed -n '/^| `/p' docs/OPERATIONS.md | cut -d'|' -f2 | grep -oE '`[a-z-]+`' | tr -d '`' |
	sort -u >"$work/described"
bad=0
for event in $(comm -23 "$work/logged" "$work/described"); do
	echo "event $event is logged and not described in docs/OPERATIONS.md"
	bad=1
done
for event in $(comm -13 "$work/logged" "$work/described"); do
	echo "event $event is described in docs/OPERATIONS.md and not logged"
	bad=1
done
[ -s "$work/logged" ] || { echo "no events were found"; bad=1; }
[ $bad -eq 0 ] && echo "$(wc -l <"$work/logged") events"
exit $bad
