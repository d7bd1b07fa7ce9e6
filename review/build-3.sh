#!/bin/sh
# Builds the stand-ins of cases 11 to 15 into target/review-3, after the build of the
# deploy file, which makes target/libcaraway.a.
set -eu
cd "$(dirname "$0")/.."
make -j8 BUILD=target target/libcaraway.a
pkgs="libmicrohttpd libcurl yaml-0.1 log4c libtirpc jansson libxxhash libcrypto zlib"
mkdir -p target/review-3
for c in review/standins-3/*.c; do
	# shellcheck disable=SC2046
	cc -std=gnu11 -O2 -g -Wall -Wextra -Wno-unused-parameter -D_GNU_SOURCE -I. \
		$(pkg-config --cflags $pkgs) -o "target/review-3/$(basename "$c" .c)" "$c" \
		target/libcaraway.a $(pkg-config --libs $pkgs) -lev -lm
done
