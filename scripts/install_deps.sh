#!/usr/bin/env bash
# Installs what the build and the tests need (Debian packages only).
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy
  libboost1.81-dev libboost-log1.81-dev libboost-program-options1.81-dev
  libboost-json1.81-dev libboost-url1.81-dev libboost-thread1.81-dev
  libnghttp2-dev librapidcheck-dev libxxhash-dev libinih-dev
  libgtest-dev libgmock-dev libbenchmark-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
