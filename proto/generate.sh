#!/bin/sh
# Generates the XDR code, which is committed. Needs rpcgen (package rpcsvc-proto).
set -eu
cd "$(dirname "$0")"
for x in *.x; do
	b=${x%.x}
	rm -f "$b.h" "${b}_xdr.c"
	rpcgen -C -h -o "$b.h" "$x"
	rpcgen -C -c -o "${b}_xdr.c" "$x"
	# rpcgen writes the include relative to its own folder.
	sed -i "s|#include \"$b.h\"|#include \"proto/$b.h\"|" "${b}_xdr.c"
done
