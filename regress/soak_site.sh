# Shell functions of test_site_soak.sh: the site, its operators and the disturbances.
# Processes are watched by a subshell each, which leaves their exit status in a file, as
# several disturbances run at a time.

MAX_RSS_KB=${MAX_RSS_KB:-131072}
# A connection in each direction with each other daemon, and some more.
MAX_DESCRIPTORS=$((160 + 2 * (N_CONTROLLERS + N_GATEWAYS + 2 * N_EXECUTORS - 13)))
STOP_PAUSE_S=1  # of a process that is paused while it stops
DISK_STALL_S=60 # a process in a sync ends only after it, also when it is killed

soak_fail() {
	echo "FAILED: $*"
	echo "$*" >>"$D/failed"
}
soak_end() {
	status=$?
	touch "$D/calm" "$D/over"
	for p in "$D"/*.pid; do
		[ -e "${p%.pid}.status" ] && continue # the id may belong to another by now
		kill -CONT "$(cat "$p")" 2>/dev/null
		kill -9 "$(cat "$p")" 2>/dev/null
	done
	wait
	if [ -e "$D/failed" ] || [ "$status" -ne 0 ]; then
		status=1
		echo "FAILED with SEED=$SEED SECONDS=$SECONDS"
		cat "$D/events"
		tail -n 15 "$D"/*.log
		[ -n "${SOAK_KEEP:-}" ] && cp -r "$D" "$SOAK_KEEP"
	fi
	rm -rf "$D"
	exit $status
}
soak_ms() { date +%s%3N; }
soak_clock() { # sets clock_cs to hundredths of a second; starts no process
	read -r clock_cs _ </proc/uptime
	clock_cs=${clock_cs%.*}${clock_cs#*.}
}
# Counts time, not turns: a turn lasts longer on a busy machine.
soak_until() { # SECONDS COMMAND...: repeats the command until it succeeds
	soak_clock
	until_cs=$((clock_cs + $1 * 100))
	shift
	while soak_clock; do
		"$@" && return 0
		[ "$clock_cs" -lt "$until_cs" ] || return 1
		sleep 0.05
	done
}
soak_spawn() { # NAME COMMAND...
	spawned=$1
	shift
	rm -f "$D/$spawned.status" "$D/$spawned.pid"
	(
		"$@" >>"$D/$spawned.log" 2>&1 &
		echo $! >"$D/$spawned.pid"
		wait $! 2>/dev/null
		echo $? >"$D/$spawned.status.new"
		mv "$D/$spawned.status.new" "$D/$spawned.status"
	) 2>/dev/null &
	soak_until 5 [ -s "$D/$spawned.pid" ]
}
soak_pid() { cat "$D/$1.pid"; }
# The status file is written by a watcher, on a busy machine some time after the end.
soak_has_ended() { # NAME
	[ -e "$D/$1.status" ] && return
	read -r pid <"$D/$1.pid"
	read -r _ _ state _ 2>/dev/null <"/proc/$pid/stat" || return 0
	[ "$state" = Z ]
}
soak_handles() { # NAME SIGNAL: without a handler, as before main(), a signal ends a process
	mask=$(sed -n 's/^SigCgt:[^0-9a-f]*//p' "/proc/$(soak_pid "$1")/status" 2>/dev/null)
	[ $((0x${mask:-0} >> ($2 - 1) & 1)) = 1 ]
}
soak_settings() { # NAME FOUND
	digit=${1#?}
	case $1 in
	c*) host=127.0.1.$digit ;;
	g*) host=127.0.2.$digit ;;
	esac
	{
		printf 'name: %s\nzone: z%s\ncluster-key: k\nseeds:\n' "$1" $(((digit - 1) % 3 + 1))
		for i in 1 2 3; do printf '  - {address: "127.0.1.%s:%s"}\n' $i $CONTROL; done
		case $1 in
		c*)
			printf 'role: controller\nfound: %s\ndata: "%s"\n' "$2" "$D/$1.data"
			printf 'listen:\n  rpc: "%s:%s"\n  control: "%s:%s"\n' \
				"$host" $RPC "$host" $CONTROL
			;;
		g*)
			printf 'role: gateway\n'
			printf 'listen:\n  rpc: "%s:%s"\n  callers: "%s:%s"\n  health: "%s:%s"\n' \
				"$host" $RPC "$host" $CALLERS "$host" $HEALTH
			;;
		esac
		printf 'workers:\n  lease-ms: 3000\n  report-ms: 500\n  status-s: 600\n'
		# Half of the seeds have gateways make the calls.
		printf '  relay-from: %s\n' $((SEED % 2 * 150))
	} >"$D/$1.yaml"
}
soak_run() { # NAME
	case $1 in
	x*)
		controls=
		for i in $(seq "$N_CONTROLLERS"); do
			controls="$controls --control 127.0.6.$i:$CONTROL"
		done
		soak_spawn "$1" "$BUILD/bin/executor" \
			--listen 127.0.3.1:$((PORT + 10 * ${1#x})) --count 2 \
			--zone z$(((${1#x} - 1) % 3 + 1)) \
			--announce 127.0.4.1 --service svc $controls \
			--work-ms 300 --ledger "$D/ledger"
		;;
	*)
		mkdir -p "$D/$1.data"
		soak_spawn "$1" "$BUILD/bin/carawayfrontd" -c "$D/$1.yaml"
		;;
	esac
}
# Only five voters survive the loss of two data directories, see soak_lose_data.
soak_has_voters() {
	voters=0
	for c in $(seq "$N_CONTROLLERS"); do
		grep 'event=role-changed' "$D/c$c.log" | tail -n 1 | grep -q 'role=[1-4]' &&
			voters=$((voters + 1))
	done
	[ $voters -ge $((N_CONTROLLERS < 5 ? N_CONTROLLERS : 5)) ]
}
soak_start() {
	: >"$D/ledger" && : >"$D/callers" && : >"$D/zones" && : >"$D/conf" && : >"$D/events"
	pairs=
	for i in $(seq "$N_CONTROLLERS"); do
		pairs="$pairs --pair c$i=127.0.6.$i:$CONTROL=127.0.1.$i:$CONTROL"
	done
	for i in $(seq "$N_GATEWAYS"); do
		pairs="$pairs --pair g$i=127.0.5.$i:$CALLERS=127.0.2.$i:$CALLERS"
	done
	for i in $(seq "$N_EXECUTORS"); do
		for n in 0 1; do
			p=$((PORT + 10 * i + n))
			pairs="$pairs --pair x$i-$n=127.0.4.1:$p=127.0.3.1:$p"
		done
	done
	soak_spawn proxy "$BUILD/bin/faultproxy" --control $PROXY $pairs
	for n in $DAEMONS; do
		soak_settings "$n" true
		soak_run "$n"
	done
	for n in $EXECUTORS; do soak_run "$n"; done
	soak_until 15 curl -sf -m 1 -o /dev/null "http://127.0.2.1:$HEALTH/api/ready" ||
		{ soak_fail "the site does not start" && return 1; }
	soak_until 30 soak_has_voters || { soak_fail "too few voters" && return 1; }
	for n in $DAEMONS; do soak_settings "$n" false; done
	soak_until 10 soak_put 1 "$(soak_conf 1)" || { soak_fail "no configuration" && return 1; }
	echo "acked 1 $(soak_ms)" >>"$D/conf"
}

# Operators. Lines of the file conf: "sent VERSION", "acked VERSION", "read VERSION STATUS",
# "refused VERSION", each with the milliseconds; of zones: "closed ZONE" after the answer and
# "opening ZONE" before the request.
soak_conf() { # VERSION: the later ones have queues of their own; names change places
	printf '{"version":%s,"routes":[' "$1"
	printf '{"name":"q%s","host":"h.example","path_prefix":"/q/","type":"unsafe","timeout_ms":%s,"slo_ms":1000,"priority":0,"service":"svc","attempts":2,"stretch":2.0}' \
		$(($1 / 3 % 3)) $((3000 + $1 % 7))
	[ $(($1 % 2)) = 1 ] && printf ',{"name":"q%s","host":"e.example","path_prefix":"/e%s/","type":"unsafe","timeout_ms":3000,"slo_ms":1000,"priority":1,"service":"svc","attempts":2,"stretch":2.0}' \
		$((($1 / 3 + 1) % 3)) "$1"
	printf '],"services":[{"name":"svc","admission_control":true}],"limits":{}}'
}
soak_control() { # CONTROLLER METHOD PATH FILE [BODY]: prints the status
	curl -s -m 1.2 -o "$4" -w '%{http_code}' -X "$2" ${5:+-d "$5"} \
		"http://127.0.6.$1:$CONTROL$3"
}
soak_put() { # CONTROLLER CONF
	[ "$(soak_control "$1" POST /api/config/replace "$D/put" "$2")" = 200 ]
}
soak_order() { # OPERATOR PATH [BODY]: sends an order until it is clear; prints the status
	for try in 1 2 3 4 5 6 7 8 9 10; do
		code=$(soak_control $((($1 + try) % N_CONTROLLERS + 1)) POST "$2" "$D/op$1" ${3:+"$3"})
		case $code in 200 | 4??) break ;; esac
		sleep 0.2
	done
	echo "$code"
}
soak_replace() { # OPERATOR VERSION
	echo "sent $2 $(soak_ms)" >>"$D/conf"
	case $(soak_order "$1" /api/config/replace "$(soak_conf "$2")") in
	200) echo "acked $2 $(soak_ms)" >>"$D/conf" ;;
	4*) echo "refused $2 $(soak_ms)" >>"$D/conf" ;;
	esac
}
soak_operator() { # NUMBER
	version=$1
	draws=$(awk -v s="$SEED$1" 'BEGIN { srand(s); for (i = 0; i < 400; i++) printf "%d ", rand() * 1000 }')
	for draw in $draws; do
		[ -e "$D/calm" ] && break
		if [ $((draw % 10)) -lt 6 ]; then
			version=$((version + 3 * (1 + draw % 4)))
			soak_replace "$1" $version
			at=$(soak_ms)
			: >"$D/get$1"
			code=$(soak_control $((draw % N_CONTROLLERS + 1)) GET /api/config/get "$D/get$1")
			echo "read $(sed -n 's/^{"version":\([0-9]*\),.*/\1/p' "$D/get$1") $code $at" >>"$D/conf"
		else
			[ "$(soak_order "$1" /api/evacuate/z"$1"/start)" = 200 ] &&
				echo "closed z$1 $(soak_ms)" >>"$D/zones"
			sleep $((draw % 7))
			soak_open "$1"
		fi
		sleep 0.$((draw % 9 + 1))
	done
	soak_open "$1"
}
soak_open() { # OPERATOR: opens its zone
	echo "opening z$1 $(soak_ms)" >>"$D/zones"
	for _ in 1 2 3; do
		[ "$(soak_order "$1" /api/evacuate/z"$1"/finish)" = 200 ] && return
	done
	soak_fail "zone z$1 cannot be opened"
}

# Changes the configuration while signals are on their way: at each event.
soak_operator_at_events() { # NUMBER
	version=$1
	seen=0
	until [ -e "$D/calm" ]; do
		begun=$(wc -l <"$D/events")
		if [ "$begun" -gt $seen ]; then
			seen=$begun
			version=$((version + 3))
			soak_replace "$1" $version
		fi
		sleep 0.05
	done
}
soak_keep_open() { # clients whose connections last until a daemon closes them
	addresses() { # HOSTS COUNT PORT
		for i in $(seq "$2"); do printf -- '--address %s.%s:%s ' "$1" "$i" "$3"; done
	}
	soak_spawn k1 "$BUILD/bin/keepopen" $(addresses 127.0.1 "$N_CONTROLLERS" $CONTROL) \
		--path /api/config/get --expect 200,503 --ledger "$D/conf"
	# Nobody submits this job.
	soak_spawn k2 "$BUILD/bin/keepopen" $(addresses 127.0.2 "$N_GATEWAYS" $CALLERS) \
		--path /q/ffffffffffffffff --expect 410,503,504
	soak_spawn k3 "$BUILD/bin/keepopen" $(addresses 127.0.2 "$N_GATEWAYS" $HEALTH) \
		--path /api/ready --expect 200,503
	# The daemons' own protocol refuses what these say.
	soak_spawn k4 "$BUILD/bin/keepopen" $(addresses 127.0.1 "$N_CONTROLLERS" $RPC)
	soak_spawn k5 "$BUILD/bin/keepopen" $(addresses 127.0.2 "$N_GATEWAYS" $RPC)
}

# Disturbances. Each holds the lock of its process, so that one is done at a time to it.
soak_is_alive() { # NAME: fails the run when a process has ended by itself
	[ -e "$D/$1.status" ] || return 0
	soak_fail "$1 ended by itself with status $(cat "$D/$1.status")"
	return 1
}
soak_term() { # NAME [STYLE]: STYLE is what else happens meanwhile, see soak_harass
	soak_handles "$1" 15 && allowed=0 || allowed='0 143'
	grace=$GRACE_S
	case ${2:-} in
	kill) allowed="$allowed 137" ;;
	pause) grace=$((GRACE_S + STOP_PAUSE_S)) ;;
	esac
	kill -TERM "$(soak_pid "$1")"
	soak_harass "$1" "${2:-}" &
	soak_until $grace soak_has_ended "$1" || {
		soak_fail "$1 did not stop within $grace s${2:+ ($2)}: $(soak_state "$1")"
		kill -9 "$(soak_pid "$1")"
		allowed="0 137"
	}
	wait $!
	soak_until $DISK_STALL_S [ -e "$D/$1.status" ]
	case " $allowed " in
	*" $(cat "$D/$1.status") "*) ;;
	*) soak_fail "$1 stopped with status $(cat "$D/$1.status")" ;;
	esac
	soak_note_killed "$1"
}
soak_signal() { # NAME SIGNAL: unless it has ended
	soak_has_ended "$1" || kill -"$2" "$(soak_pid "$1")" 2>/dev/null
}
# Other signals and settings for a process that is stopping.
soak_harass() { # NAME STYLE
	soak_reload "$1"
	case $2 in
	again) # a stop that each SIGTERM begins anew would not end
		while ! soak_has_ended "$1"; do
			sleep 0.7
			soak_signal "$1" TERM
			soak_reload "$1"
		done
		;;
	kill)
		sleep 0.7
		soak_signal "$1" KILL
		;;
	pause)
		sleep 0.2
		soak_signal "$1" STOP
		sleep $STOP_PAUSE_S
		soak_signal "$1" CONT
		;;
	esac
}
soak_state() { # NAME: what its process waits for
	for f in status wchan; do sed -n 's/^State:[^A-Z]*//p;/^[a-z_0]*$/p' "/proc/$(soak_pid "$1")/$f"; done 2>&1 |
		tr '\n' ' '
}
# Gives a daemon other settings; it may be starting, stopping or paused.
soak_reload() { # NAME
	case $1 in [!cg]*) return ;; esac
	fresh=$(mktemp "$D/reload.XXXXXX")
	sed '/^limits:/,$d' "$D/$1.yaml" >"$fresh"
	printf 'limits:\n  drain-s: %s\n' "${2:-$(($(soak_ms) % 60 + 1))}" >>"$fresh"
	mv "$fresh" "$D/$1.yaml"
	soak_handles "$1" 1 && kill -HUP "$(soak_pid "$1")" 2>/dev/null
	return 0
}
soak_note_killed() { # NAME: an executor that ends ends its tasks without a line
	case $1 in
	x*) echo "killed - 0 x-$((PORT + 10 * ${1#x})) - $(soak_ms)" >>"$D/ledger" ;;
	esac
}
soak_kill() { # NAME
	kill -KILL "$(soak_pid "$1")"
	soak_until $DISK_STALL_S [ -e "$D/$1.status" ] || soak_fail "$1 survives SIGKILL"
	soak_note_killed "$1"
}
# Pauses a process, which gets other settings meanwhile. A SIGTERM of style again and a SIGKILL
# come while it is paused.
soak_pause() { # NAME SECONDS STYLE
	kill -STOP "$(soak_pid "$1")"
	soak_reload "$1"
	sleep "$2"
	style=$3
	# An executor that does not wake cannot write that its lease has ended.
	case $1$3 in x*kill) style=plain ;; esac
	case $style in
	again)
		soak_wake "$1" &
		waker=$!
		soak_term "$1"
		wait $waker
		;;
	kill) soak_kill "$1" ;;
	*) kill -CONT "$(soak_pid "$1")" ;;
	esac
}
soak_wake() { # NAME
	sleep 0.3
	soak_signal "$1" CONT
}
# At most two data directories are lost at a time; a lost one counts until its process is
# a voter again.
soak_lose_data() { # NAME
	lost=0
	for c in $(seq "$N_CONTROLLERS"); do
		[ -e "$D/lost.c$c" ] || continue
		if tail -n +"$(cat "$D/lost.c$c")" "$D/c$c.log" |
			grep -q 'event=role-changed role=[1-4]'; then
			rm "$D/lost.c$c"
		else
			lost=$((lost + 1))
		fi
	done
	[ $lost -lt 2 ] || return
	echo $(($(wc -l <"$D/$1.log") + 1)) >"$D/lost.$1"
	rm -rf "$D/$1.data"
	echo "$(soak_ms) $1 lost its data directory" >>"$D/events"
}
soak_cut() { # COMMAND NAME
	case $2 in
	x*) pairs="$2-0 $2-1" ;;
	*) pairs=$2 ;;
	esac
	for pair in $pairs; do curl -s -m 2 -o /dev/null "http://$PROXY/$1/$pair"; done
}
soak_event() { # KIND NAME PAUSE STYLE: of a stop or pause
	[ "$1" = hup ] && soak_reload "$2" # also while another event holds the lock
	mkdir "$D/lock.$2" 2>/dev/null || return
	echo "$(soak_ms) $1 $2 $3 $4" >>"$D/events"
	if soak_is_alive "$2"; then
		case $1 in
		term) soak_reload "$2" && soak_term "$2" "$4" && sleep "$3" && soak_run "$2" ;;
		kill) soak_kill "$2" && sleep "$3" && soak_run "$2" ;;
		lose) soak_kill "$2" && soak_lose_data "$2" && sleep "$3" && soak_run "$2" ;;
		stop) soak_pause "$2" "$3" "$4" ;;
		hup) soak_reload "$2" many && sleep 0.2 && soak_reload "$2" ;;
		cut)
			soak_cut cut "$2"
			sleep "$3"
			soak_cut heal "$2"
			;;
		esac
	fi
	[ -e "$D/$2.status" ] && ! [ -e "$D/over" ] && soak_run "$2"
	rmdir "$D/lock.$2"
}
# The plan has lines "WAIT KIND NAME PAUSE STYLE": series of events that follow each other within
# a second and last for up to 5 s, with 1 to 4 s between the series.
soak_plan() {
	# Controllers are drawn twice as often as others.
	awk -v seed="$SEED" -v seconds="$SECONDS" \
		-v all="$(names c "$N_CONTROLLERS")$DAEMONS$EXECUTORS" '
	function draw(n) { return int(rand() * n) }
	BEGIN {
		srand(seed)
		n_kinds = split("term term kill kill lose stop stop hup cut", kinds, " ")
		n_names = split(all, names, " ")
		n_styles = split("plain again kill pause again", styles, " ")
		for (t = 0; t < seconds;) {
			wait = 1 + rand() * 3
			for (n = 1 + draw(5); n > 0; n--) {
				name = names[1 + draw(n_names)]
				kind = kinds[1 + draw(n_kinds)]
				if (kind == "lose" && name !~ /^c/) kind = "kill"
				if (kind == "hup" && name ~ /^x/) kind = "stop"
				pause = rand() * (kind == "stop" || kind == "cut" ? 5 : 1.5)
				# Not drawn: earlier seeds keep their plans.
				style = styles[1 + (seed + 3 * n_events++) % n_styles]
				printf "%.2f %s %s %.2f %s\n", wait, kind, name, pause, style
				t += wait
				wait = rand()
			}
		}
	}'
}
soak_disturb() {
	events=
	soak_plan >"$D/plan"
	while read -r wait kind name pause style; do
		sleep "$wait"
		soak_event "$kind" "$name" "$pause" "$style" &
		events="$events $!"
		soak_measure
	done <"$D/plan"
	for e in $events; do wait "$e"; done
}

# After the disturbances.
soak_read_back() {
	newest=$(awk '$1 == "acked" && $2 > v { v = $2 } END { print v }' "$D/conf")
	soak_until 10 soak_read_once || soak_fail "the configuration cannot be read"
	version=$(sed -n 's/^{"version":\([0-9]*\),.*/\1/p' "$D/back")
	[ "$version" -ge "$newest" ] || soak_fail "read back $version, acknowledged $newest"
	[ "$(cat "$D/back")" = "$(soak_conf "$version")" ] ||
		soak_fail "read back other content: $(cat "$D/back")"
	grep -q "^[as][a-z]* $version " "$D/conf" || soak_fail "version $version was not sent"
}
soak_read_once() {
	reader=$((${reader:-0} % N_CONTROLLERS + 1))
	[ "$(soak_control $reader GET /api/config/get "$D/back")" = 200 ]
}
soak_stop_all() {
	soak_measure
	for n in $DAEMONS; do soak_is_alive "$n"; done
	touch "$D/over"
	stops=
	style=plain
	for n in $DAEMONS; do
		[ $style = plain ] && style=again || style=plain
		soak_term "$n" $style &
		stops="$stops $!"
	done
	for s in $stops; do wait "$s"; done
	for n in $EXECUTORS; do soak_is_alive "$n" && soak_term "$n"; done
}
# Memory and descriptors of each daemon: "NAME PID KB DESCRIPTORS".
soak_measure() {
	for n in $DAEMONS; do
		pid=$(soak_pid "$n" 2>/dev/null)
		rss=$(sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$pid/status" 2>/dev/null)
		[ -n "$rss" ] && echo "$n $pid $rss $(ls "/proc/$pid/fd" 2>/dev/null | wc -l)"
	done >>"$D/sizes"
}
soak_check_sizes() {
	awk -v kb="$MAX_RSS_KB" -v fds=$MAX_DESCRIPTORS '
	{ if ($3 > rss) rss = $3; if ($4 > n) n = $4 }
	$3 > kb || $4 > fds { print "too large:", $0; bad = 1 }
	END { printf "largest process %d kB, %d descriptors\n", rss, n; exit bad }
	' "$D/sizes" || soak_fail "memory or descriptors"
}
