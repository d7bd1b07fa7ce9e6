#!/bin/sh
# Draws curves from a benchmark table: plot.sh TABLE FOLDER.
set -eu
table=$1
folder=$2
# curve FILE TITLE X Y PREFIX SUFFIX: points of rows named PREFIX.N.SUFFIX.
curve() {
	awk -v p="$5" -v s="$6" '
		index($1, p ".") == 1 {
			n = split($1, part, ".")
			if (part[n] == s && part[2] ~ /^[0-9]+$/) print part[2], $2
		}' "$table" | sort -n >"$folder/$1.dat"
	[ -s "$folder/$1.dat" ] || return 0
	gnuplot <<END
set terminal png size 800,500
set output "$folder/$1.png"
set title "$2"
set xlabel "$3"
set ylabel "$4"
set key off
set grid
set yrange [0:*]
plot "$folder/$1.dat" with linespoints pointtype 7
END
}
curve workers-leader-cpu "Leader: polls of workers" workers "% of a core" workers leader_cpu
curve workers-leader-bytes "Leader: polls of workers" workers "B/s received" workers leader_bytes
curve upstreams-entry-bytes "Entry: announcements" upstreams "B/s received" upstreams entry_bytes
curve upstreams-entry-cpu "Entry: announcements" upstreams "% of a core" upstreams entry_cpu
