#!/bin/sh
# Generates the XDR code, which is committed. Needs rpcgen (package rpcsvc-proto) and
# perl.
set -eu
cd "$(dirname "$0")"

# rpcgen gives every type a typedef of the same name; the project uses tags only.
remove_typedefs() { # KIND HEADER SOURCE
	for t in $(sed -n "s/^typedef $1 \([a-z_]*\) \1;\$/\1/p" "$2"); do
		perl -ni -e "print unless /^typedef $1 $t $t;\$/" "$2"
		perl -pi -e "s/(?<!$1 )\b$t ?(?=\*)/$1 $t /g; s/^(\t+)$t (?=\w+;)/\${1}$1 $t /; s/sizeof \($t\)/sizeof ($1 $t)/g" "$2" "$3"
	done
}

for x in *.x; do
	b=${x%.x}
	rm -f "$b.h" "${b}_xdr.c"
	rpcgen -C -h -o "$b.h" "$x"
	rpcgen -C -c -o "${b}_xdr.c" "$x"
	# rpcgen writes the include relative to its own folder.
	sed -i "s|#include \"$b.h\"|#include \"proto/$b.h\"|" "${b}_xdr.c"
	# A count must fit into the rest of the message before memory is allocated for it.
	sed -i -e 's/xdr_bytes (/codec_bytes (/; s/xdr_array (/codec_array (/' \
		-e "s|#include \"proto/$b.h\"|&\n#include \"proto/codec.h\"|" "${b}_xdr.c"
	remove_typedefs struct "$b.h" "${b}_xdr.c"
	remove_typedefs enum "$b.h" "${b}_xdr.c"
done
