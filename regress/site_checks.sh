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

# check_graph_jobs EXECUTOR-LEDGER CALLER-LEDGER: a task runs at one place at a time and
# not again after an end "done" was seen within the lease; a step starts after the one
# before; a refused job never starts, a cancelled one starts nothing 3 s after; accepted
# jobs are known and complete; "completed" is said when all tasks are done and stays;
# a job fails only if two executors were killed under runs of one of its tasks.
# The ledgers are those of the stand-ins executor and jobcaller.
check_graph_jobs() {
	# Only an end with the lease is written late, at the time of the lease.
	awk '{ print $6, $5 != "lapsed", $0 }' "$1" |
		sort -s -k1,1n -k2,2n | cut -d' ' -f3- >"$1.sorted"
	awk '
	function fault(text) { print text; bad++ }
	function job_of(task) { return substr(task, 1, 16) }
	FNR == 1 { file++ }
	file == 1 && $1 == "submit" { shape[$2] = $3; next }
	file == 1 && $1 == "answer" {
		answers[$2]++
		if ($3 ~ /^2/) accepted[$2] = accepted[$2] ? accepted[$2] : $4
		if ($3 !~ /^4/ && $3 != 503) maybe[$2] = 1
		if ($3 == 400 || $3 == 404) fault("valid job refused: " $0)
		next
	}
	file == 1 && $1 == "cancelling" { cancelling[$2] = 1; next }
	file == 1 && $1 == "cancel" {
		if ($3 ~ /^2/ && !($2 in cancelled)) cancelled[$2] = $4
		if ($3 == 410) fault("accepted job is not known: " $0)
		next
	}
	file == 1 && $1 == "left" { fault("accepted job does not end: " $0); next }
	file == 1 && $1 == "state" {
		if (($3 == 410 || $3 == 404) && accepted[$2] && accepted[$2] < $4)
			fault("accepted job is not known: " $0)
		if ($3 ~ /^[0-9]/) next
		if (completed[$2] && $3 != "completed") fault("completed, then " $0)
		if ($3 == "failed") failed[$2] = $0
		if ($3 == "cancelled" && !cancelling[$2]) fault("not cancelled: " $0)
		if ($3 == "completed" && !completed[$2]) completed[$2] = $4
		final[$2] = $3
		next
	}
	$1 == "fenced" { next }
	$1 == "killed" {
		for (t in on) if (index(on[t], $4 "-") == 1) {
			delete on[t]
			if (++crashes[t] == 2) may_fail[job_of(t)] = 1
		}
		# An end that was not seen until now is lost with its process.
		for (t in done) {
			split(done[t], part, " ")
			if (index(part[3], $4 "-") == 1 && !(done[t] in seen)) delete done[t]
		}
		next
	}
	$1 == "start" {
		split($2, part, ".")
		job = part[1]
		if (!(job in shape)) fault("nobody submitted: " $0)
		if (answers[job] && !maybe[job]) fault("refused job runs: " $0)
		if ($2 in on) fault("two places at once: " $0 " and " on[$2])
		if ($2 in done) again[$0] = done[$2]
		if ((job in cancelled) && $6 > cancelled[job] + 3000) fault("cancelled job runs: " $0)
		n = split(shape[job], step, ",")
		for (i = 0; part[3] > 0 && i < step[part[3]]; i++)
			if (!((job "." part[2] "." part[3] - 1 "." i) in ended_done))
				fault("step before the one it depends on: " $0)
		on[$2] = $4 " run " $3
		run_at[$2] = $3 " " $4
		next
	}
	$1 == "end" {
		if (run_at[$2] == $3 " " $4) delete on[$2]
		if ($5 != "done") next
		done[$2] = $2 " " $3 " " $4
		ended_done[$2] = $6
		n_done[$2]++
		next
	}
	$1 == "seen" && $5 == "done" { seen[$2 " " $3 " " $4] = 1 }
	END {
		for (j in shape) {
			jobs++
			if (accepted[j]) taken++
			if (failed[j] && may_fail[j]) continue
			if (failed[j]) fault("job without a failed task failed: " failed[j])
			n = split(shape[j], step, ",")
			if (shape[j] ~ /^L/) {
				if (accepted[j] && !cancelling[j] && final[j] != "running")
					fault("lasting job " j " is " final[j])
				continue
			}
			if (accepted[j] && !cancelling[j] && final[j] != "completed")
				fault("accepted job " j " is " final[j])
			if (!completed[j]) continue
			for (k = 1; k <= n; k++)
				for (i = 0; i < step[k]; i++) {
					t = j ".0." k - 1 "." i
					if (!(t in ended_done)) fault("completed without " t)
					else if (ended_done[t] > completed[j])
						fault("completed before the end of " t)
				}
		}
		for (line in again)
			if (again[line] in seen) fault("again after an end that was seen: " line)
		for (t in n_done) tasks++
		printf "jobs=%d accepted=%d tasks_done=%d\n", jobs, taken, tasks
		exit bad > 0
	}' "$2" "$1.sorted" >"$1.check"
	status=$?
	head -n 20 "$1.check"
	return $status
}

# check_closed_zones EXECUTOR-LEDGER ZONES: no start 5 s after the closing of a zone was
# acknowledged and before its opening was sent.
check_closed_zones() {
	awk -v port="$PORT" '
	FNR == 1 { file++ }
	file == 1 && $1 == "closed" { n++; zone[n] = $2; from[n] = $3 + 5000; to[n] = 1e18 }
	file == 1 && $1 == "opening" {
		for (i = 1; i <= n; i++) if (zone[i] == $2 && to[i] == 1e18) to[i] = $3
	}
	file == 2 && $1 == "start" {
		split($4, part, "-")
		z = "z" int((part[2] - port) / 10)
		for (i = 1; i <= n; i++)
			if (zone[i] == z && $6 > from[i] && $6 < to[i]) { print "closed:", $0; bad = 1 }
	}
	END { printf "zones closed=%d\n", n; exit bad }' "$2" "$1"
}

# check_conf FILE: no valid configuration is refused, and none that is read is older than
# one acknowledged before.
check_conf() {
	awk '
	$1 == "refused" { print "refused:", $0; bad = 1 }
	$1 == "acked" { n++; if ($2 > newest) { newest = $2 }; at[n] = $3; v[n] = newest }
	$1 == "read" && $3 == 200 {
		reads++
		for (i = 1; i <= n; i++)
			if (at[i] < $4 && v[i] > $2) { print "older than " v[i] ":", $0; bad = 1 }
	}
	END { printf "configurations acked=%d reads=%d\n", n, reads; exit bad }' "$1"
}
