#!/usr/bin/env bash
# Installs the packages needed to build figlug.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
apt-get update -q >/dev/null
apt-get install -y -q --no-install-recommends \
  g++ cmake ninja-build clang-format clang-tidy \
  libevent-dev libssl-dev capnproto libcapnp-dev libboost-dev \
  libtclap-dev liblog4cplus-dev libexpected-dev libcpputest-dev libinih-dev \
  libxxhash-dev zlib1g-dev nlohmann-json3-dev >/dev/null
