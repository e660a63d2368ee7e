#!/usr/bin/env bash
# Installs the Debian 12 packages that the build needs and that are missing. Installing needs root.
set -euo pipefail
packages=(g++ cmake make ninja-build ccache pkg-config git curl jq python3 clang-format-14 clang-tidy-14
    libasio-dev librestinio-dev libhttp-parser-dev libfmt-dev libnghttp2-dev libboost-dev
    libboost-log-dev libboost-program-options-dev libcurl4-openssl-dev doctest-dev libprotobuf-dev
    libyaml-cpp-dev nlohmann-json3-dev libssl-dev libtomlplusplus-dev zlib1g-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ "${#missing[@]}" = 0 ] && exit 0
echo "installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" > /dev/null
