#!/bin/sh
# Builds the daemon as the deploy file does, and the stand-ins of review/6 to review/10,
# into target/bin.
set -eu
cd "$(dirname "$0")/.."
make -j8 BUILD=target target/bin/carawayfrontd target/libcaraway.a target/bin/faultproxy
pkgs="libmicrohttpd libcurl yaml-0.1 log4c libtirpc jansson libxxhash libcrypto zlib"
for n in executors2 call2; do
	${CC:-cc} -std=gnu11 -O2 -g -Wall -Wextra -Wno-unused-parameter -D_GNU_SOURCE -I. \
		$(pkg-config --cflags $pkgs) -o target/bin/$n review/standins-2/$n.c \
		target/libcaraway.a $(pkg-config --libs $pkgs) -lev -lm
done
