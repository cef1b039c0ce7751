#!/bin/sh
# Copies the files that the benchmark expects beside a site file from the kit to each site variant in this directory,
# unchanged. The copies are not committed.
# Usage: sh deploy/sites/lay.sh KIT_SITES, where KIT_SITES is the kit's directory of the deployed site.
set -eu
[ -f "${1:?the kit folder of sites}/real.json" ] || { echo "no real.json in $1" >&2; exit 2; }
for variant in "$(dirname "$0")"/*/; do
    cp "$1/real.json" "$1/wire.json" "$1/design.json" "$1/unlock.txt" "$variant"
    chmod u+w "$variant"/*
done
