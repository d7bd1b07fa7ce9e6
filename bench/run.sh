#!/bin/sh
# Runs every benchmark. Each line is: name value unit baseline ratio. The lines also go
# to $BUILD/bench.tsv with the commit and the machine, so that two commits can be
# compared, and gnuplot draws the main curves into $BUILD/plots.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
export BUILD
out=$BUILD/bench.tsv
{
	echo "# commit $(git rev-parse --short HEAD 2>/dev/null || echo none)"
	echo "# machine $(nproc) cores, $(sed -n 's/^model name[^:]*: //p' /proc/cpuinfo | head -n 1), $(uname -r)"
	echo "# date $(date -u +%Y-%m-%dT%H:%M:%SZ)"
} >"$out"
cat "$out"
for b in bench/bench_*.c bench/bench_*.sh; do
	name=$(basename "$b")
	case $b in
	*.c) cmd=$BUILD/bin/${name%.c} ;;
	*.sh) cmd="sh $b" ;;
	esac
	echo "# $name"
	$cmd 2>/dev/null | tee -a "$out"
done
mkdir -p "$BUILD/plots"
command -v gnuplot >/dev/null && sh bench/plot.sh "$out" "$BUILD/plots"
exit 0
