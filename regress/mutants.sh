#!/bin/sh
# Takes one mechanism out at a time in a copy of the tree and runs the test that guards
# it, which must fail. Usage: mutants.sh [NAME...]; without names all are run.
set -u
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
seen=0
missed=0
trim() {
	echo "$1" | sed 's/^ *//; s/ *$//'
}
grep -v '^#' regress/mutants.txt >"$work/list"
# One copy at the start, so that work on the tree goes on meanwhile.
mkdir "$work/base"
cp -a Makefile base core io proto platform carawayfrontd carawayctl standins regress examples \
	docs deploy \
	build "$work/base"
while IFS= read -r line; do
	name=$(trim "$(echo "$line" | cut -d'|' -f1)")
	file=$(trim "$(echo "$line" | cut -d'|' -f2)")
	# The expression may contain bars: it is what stands between the others.
	rest=${line#*|}
	rest=${rest#*|}
	expr=$(trim "${rest%|*}")
	test=$(trim "${line##*|}")
	[ $# -gt 0 ] && case " $* " in *" $name "*) ;; *) continue ;; esac
	rm -rf "$work/tree"
	cp -a "$work/base" "$work/tree"
	sed -i "$expr" "$work/tree/$file"
	if cmp -s "$work/base/$file" "$work/tree/$file"; then
		echo "mutant $name: expression changes nothing"
		missed=$((missed + 1))
		continue
	fi
	if ! make -s -C "$work/tree" WARN=-w all tests >"$work/log" 2>&1; then
		echo "mutant $name: does not build"
		tail -n 5 "$work/log"
		missed=$((missed + 1))
		continue
	fi
	case $test in
	*.sh) command="sh regress/$test" ;;
	*) command="build/bin/$test" ;;
	esac
	if (cd "$work/tree" && BUILD=build SITE_PORT=28000 $command) >"$work/log" 2>&1; then
		echo "mutant $name: NOT seen by $test"
		missed=$((missed + 1))
	else
		seen=$((seen + 1))
		echo "mutant $name: seen by $test: $(grep -m 1 -aE 'FAILED|reverted|:F:|:E:' "$work/log" | cut -c1-120)"
		grep -m 3 -aE 'ran more|told |wrong answer|two places|not done|started in' "$work/log" | cut -c1-120
	fi
done <"$work/list"
echo "$seen seen, $missed missed"
[ "$missed" -eq 0 ]
