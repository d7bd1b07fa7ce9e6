#!/bin/sh
# Installs the Debian packages that the build, the tests and the checks need.
set -eu
pkgs="build-essential pkg-config libev-dev libmicrohttpd-dev libcurl4-openssl-dev
libyaml-dev liblog4c-dev libtirpc-dev check libjansson-dev libxxhash-dev uthash-dev
libssl-dev zlib1g-dev curl gnuplot-nox mandoc clang-format clang-tidy"
missing=
for p in $pkgs; do
	dpkg-query -W -f '${Status}' "$p" 2>/dev/null | grep -q 'install ok' ||
		missing="$missing $p"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
