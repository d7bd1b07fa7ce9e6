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
rule base '(core|io|proto|carawayfrontd|carawayctl|regress|bench)/'
rule core '(io|carawayfrontd|carawayctl|regress|bench)/|ev\.h|sys/socket|time\.h|stdio\.h|log4c|unistd\.h|microhttpd|curl/'
rule io '(core|carawayfrontd|carawayctl|regress|bench)/'
rule carawayfrontd '(carawayctl|regress|bench|standins)/'
rule carawayctl '(carawayfrontd|regress|bench|standins)/'
# The tool checks documents by the daemon's rules and decides nothing else of core/.
if grep -nE '#include "core/' carawayctl/*.c carawayctl/*.h |
	grep -vE '"core/(vocab[a-z_]*|conf_item|fields)\.h"'; then
	echo "layering: carawayctl includes a forbidden header" >&2
	bad=1
fi
exit $bad
