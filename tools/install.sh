#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -eu
PACKAGES="g++ cmake ninja-build make git curl python3 clang-format clang-tidy
  libpoco-dev libnng-dev libboost-dev libboost-program-options-dev
  liblog4cplus-dev catch2 librapidcheck-dev spin libmsgpack-cxx-dev
  libxxhash-dev nlohmann-json3-dev libbenchmark-dev libssl-dev openssl"
MISSING=
for package in $PACKAGES; do
  dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
    grep -q 'ok installed' || MISSING="$MISSING $package"
done
if [ -z "$MISSING" ]; then exit 0; fi
apt-get update
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends $MISSING
