#!/bin/sh
# Builds the programs that the review's scripts start, into target/, which the build of
# the deploy file fills as well.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 BUILD=target target/bin/carawayfrontd target/bin/faultproxy
flags="-std=gnu11 -O2 -g -Wall -Wextra -Wno-unused-parameter -D_GNU_SOURCE -I."
pkgs="libmicrohttpd libcurl jansson libxxhash libcrypto zlib"
for p in executor client; do
	# shellcheck disable=SC2086,SC2046
	cc $flags $(pkg-config --cflags $pkgs) -o "target/bin/review-$p" \
		"review/standins/$p.c" target/libcaraway.a $(pkg-config --libs $pkgs) \
		$(pkg-config --libs yaml-0.1 log4c libtirpc) -lev -lm
done
