#!/usr/bin/env bash
# Installs the Debian packages required for builds, tests and reports. Does
# nothing if all of them are installed.
set -euo pipefail
packages=(g++ cmake ninja-build mold ccache clang-format clang-tidy
  libboost1.81-dev libcereal-dev libpopt-dev libeasyloggingpp-dev doctest-dev
  libxxhash-dev libyaml-cpp-dev nlohmann-json3-dev libssl-dev zlib1g-dev
  python3-jinja2 python3-yaml gnuplot-nox)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
  --no-install-recommends "${missing[@]}" >/dev/null
