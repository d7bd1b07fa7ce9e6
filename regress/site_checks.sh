# Checks over the ledgers of stand-ins; sourced by the site tests.

# check_requests CALLER-LEDGER UPSTREAM-LEDGER: a POST starts at most once; a request
# whose every answer said "not run" never started; a POST answered as done started once;
# no answer was wrong. Upstreams must run with --ledger-starts.
check_requests() {
	awk '
	NR == FNR {
		if ($7 == "start" || $7 == "started") {
			runs[$4]++
			if ($3 == "POST" && runs[$4] > 1) {
				print "ran more than once: " $2 " " $4
				bad++
			}
		}
		next
	}
	{
		sub(/^\/[^\/]*\/[^\/]*/, "", $4)
		path[$1] = $4
		method[$1] = $3
		if ($5 != "not_run") maybe[$1] = 1
		if ($5 == "done") done[$1] = 1
		if ($5 == "wrong") { print "wrong answer: " $0; bad++ }
		count[$5]++
	}
	END {
		for (n in path) {
			if (!maybe[n] && runs[path[n]]) {
				print "told not run, but ran: " path[n]
				bad++
			}
			if (done[n] && method[n] == "POST" && runs[path[n]] != 1) {
				print "told done, but ran " runs[path[n]] + 0 " times: " path[n]
				bad++
			}
		}
		for (o in count) printf "%s=%d ", o, count[o]
		print ""
		exit bad > 0
	}' "$2" "$1" >"$1.check"
	status=$?
	head -n 20 "$1.check"
	return $status
}

# check_tasks WORKER-LEDGER [STATES]: a task runs at one place at a time, each attempt
# starts once, a task is done once, no worker holds more than it has. A worker process
# that is killed ends its tasks without a line; ledger_killed adds one.
check_tasks() {
	sort -n "$1" | awk '
	$5 == "start" {
		if (on[$3] != "") {
			print "two places at once: " $3 " on " on[$3] " and " $2
			bad++
		}
		if (seen[$3, $4]++) { print "attempt started twice: " $3 " " $4; bad++ }
		on[$3] = $2
		starts++
		next
	}
	$5 == "killed" {
		for (t in on) if (index(on[t], $2) == 1) on[t] = ""
		next
	}
	$5 == "violation" { print "overcommit: " $0; bad++ }
	$5 == "end" { if (on[$3] == $2) on[$3] = ""; if ($6 == "done") done[$3]++ }
	END {
		for (t in done) if (done[t] > 1) { print "done twice: " t; bad++ }
		n = 0
		for (t in done) n++
		printf "starts=%d tasks_done=%d\n", starts, n
		exit bad > 0
	}'
}

# ledger_killed WORKER-LEDGER NAME-PREFIX
ledger_killed() {
	echo "$(date +%s%6N) $2 - 0 killed -" >>"$1"
}
