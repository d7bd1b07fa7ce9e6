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
# starts once, no worker holds more than it has, and a task that is done does not start
# again. Only a result that its worker still had to report ("forget" confirms the record)
# when it was killed or its lease ended may be lost, so that the task runs once more. A
# worker process that is killed ends its tasks without a line; ledger_killed adds one.
check_tasks() {
	sort -n "$1" | awk '
	$5 == "start" {
		if (on[$3] != "") {
			print "two places at once: " $3 " on " on[$3] " and " $2
			bad++
		}
		if (seen[$3, $4]++) { print "attempt started twice: " $3 " " $4; bad++ }
		if (at[$3] != "" && !lost[$3]) {
			print "started after it was done: " $3 " on " $2 ", done on " at[$3]
			bad++
		}
		on[$3] = $2
		starts++
		next
	}
	$5 == "killed" {
		for (t in on) if (index(on[t], $2) == 1) on[t] = ""
		for (t in at) if (!recorded[t] && index(at[t], $2) == 1) lost[t] = 1
		next
	}
	$5 == "lease" {
		for (t in at) if (!recorded[t] && at[t] == $2) lost[t] = 1
		next
	}
	$5 == "forget" { if (at[$3] == $2 && run[$3] == $4 && !lost[$3]) recorded[$3] = 1 }
	$5 == "violation" { print "overcommit: " $0; bad++ }
	$5 == "end" { if (on[$3] == $2) on[$3] = "" }
	$5 == "end" && $6 == "done" {
		if (at[$3] != "" && !lost[$3]) { print "done twice: " $3; bad++ }
		again += at[$3] != ""
		at[$3] = $2
		run[$3] = $4
		lost[$3] = 0
	}
	END {
		n = 0
		for (t in at) if (at[t] != "") n++
		printf "starts=%d tasks_done=%d done_again=%d\n", starts, n, again
		exit bad > 0
	}'
}

# ledger_killed WORKER-LEDGER NAME-PREFIX
ledger_killed() {
	echo "$(date +%s%6N) $2 - 0 killed -" >>"$1"
}
