#!/bin/sh
# Guards against a check of the task ledger that passes a task which was done and started
# again, and against one that refuses the rerun of a result that its worker lost.
set -u
cd "$(dirname "$0")/.."
. regress/site_checks.sh
D=$(mktemp -d)
trap 'rm -rf "$D"' EXIT
bad=0
expect() { # VERDICT NAME LEDGER
	printf '1 b-1 j/1 1 start new\n2 b-1 j/1 1 end done\n%b' "$3" >"$D/ledger"
	check_tasks "$D/ledger" >"$D/out" && got=pass || got=fail
	[ "$got" = "$1" ] && return
	echo "FAILED: $2: $got, expected $1"
	cat "$D/out"
	bad=1
}
again='6 a-1 j/1 2 start new\n7 a-1 j/1 2 end done\n'
forget='3 b-1 j/1 1 forget done\n'
killed='4 b- - 0 killed -\n'
lease='5 b-1 - 0 lease ended\n'
expect pass "done once" "$forget"
expect fail "started again beside its result" "$again"
expect fail "started again after another worker was killed" "4 c- - 0 killed -\n$again"
expect fail "recorded, worker killed" "$forget$killed$again"
expect fail "recorded, lease ended" "$forget$lease$again"
expect pass "not recorded, worker killed" "$killed$again"
expect pass "not recorded, lease ended" "$lease$again"
expect pass "lost, and confirmed later by another leader" "$lease${again}8 b-1 j/1 1 forget done\n"
expect fail "second result repeated" "$killed${again}8 c-1 j/1 3 start new\n"

# Graph jobs: a job that fails after executors were killed under its task.
J=0000000000000001
expect_graph() { # VERDICT NAME KILLED...
	want=$1 name=$2 at=1
	shift 2
	printf 'submit %s 1 1\nanswer %s 200 2\nstate %s failed 9000\n' $J $J $J >"$D/callers"
	for x in "$@"; do
		printf 'start %s.0.0.0 %s x-%s-0 work %s\n' $J $at $at $((at * 10))
		printf 'killed - 0 %s - %s\n' "$x" $((at * 10 + 5))
		at=$((at + 1))
	done >"$D/ledger"
	check_graph_jobs "$D/ledger" "$D/callers" >"$D/out" && got=pass || got=fail
	[ "$got" = "$want" ] && return
	echo "FAILED: $name: $got, expected $want"
	cat "$D/out"
	bad=1
}
expect_graph fail "given up without a crash"
expect_graph fail "given up after one crash" x-1
expect_graph fail "given up after a crash elsewhere" x-1 x-9
expect_graph pass "given up after two crashes" x-1 x-2
[ "$bad" -eq 0 ] && echo "site checks: ok"
exit "$bad"
