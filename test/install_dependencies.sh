#!/bin/sh
# Installs the Debian packages that the build and the tests need; does nothing if all of them
# are installed.
set -e
packages="gcc make cmake openssl ninja-build pkg-config python3 clang-format cppcheck
liburcu-dev libzmq3-dev libcivetweb-dev libcurl4-openssl-dev libjson-c-dev libglib2.0-dev
libcunit1-dev spin libsodium-dev libxxhash-dev libprotobuf-c-dev gnuplot-nox
libuv1-dev libhttp-parser-dev zlib1g-dev"
missing=""
for package in $packages; do
  dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
sudo=""
[ "$(id -u)" = 0 ] || sudo="sudo"
$sudo apt-get update -q >/dev/null
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -q $missing >/dev/null
