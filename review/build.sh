#!/usr/bin/env bash
# Builds the stand-ins of the cases (engines, journal service, clients) into review/build. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac -Xlint:all --release 17 -d build standins/review/*.java
echo "stand-ins built"
