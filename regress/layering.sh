#!/bin/sh
# Fails when a folder includes a header of a folder above it in docs/design.md 2.1.
set -eu
bad=0
rule() { # rule FOLDER FORBIDDEN-REGEX
	if grep -nE "#include [\"<]($2)" "$1"/*.c "$1"/*.h 2>/dev/null; then
		echo "layering: $1 includes a forbidden header" >&2
		bad=1
	fi
}
rule base '(core|io|proto|platform|carawayfrontd|carawayctl|regress|bench)/'
rule core '(io|platform|carawayfrontd|carawayctl|regress|bench)/|ev\.h|sys/socket|time\.h|stdio\.h|log4c|unistd\.h|microhttpd|curl/'
rule io '(core|platform|carawayfrontd|carawayctl|regress|bench)/'
rule platform '(carawayfrontd|carawayctl|regress|bench|standins)/'
rule carawayfrontd '(carawayctl|regress|bench|standins)/'
rule carawayctl '(carawayfrontd|regress|bench|standins)/'
# The tool checks documents by the daemon's rules and decides nothing else of core/.
if grep -nE '#include "core/' carawayctl/*.c carawayctl/*.h |
	grep -vE '"core/(vocab[a-z_]*|conf_item|fields)\.h"'; then
	echo "layering: carawayctl includes a forbidden header" >&2
	bad=1
fi
# The platform's names stay in its folder.
if grep -nE '"/api/|run-start|run-stop|seen_upto|heartbeat_url|fencing_token|max_per_server|required_label|long_running"|Carawayfront-(Expect|Deadline-Ms|Lease|Fencing)' \
	core/*.[ch] io/*.[ch] base/*.[ch] carawayfrontd/controller*.[ch] carawayfrontd/gateway*.[ch] \
	carawayfrontd/dag_client.[ch]; then
	echo "layering: a name of the platform outside platform/" >&2
	bad=1
fi
exit $bad
