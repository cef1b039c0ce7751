#!/bin/sh
# Lays what the bench wants beside a site file next to our own variants, unchanged from the kit; none of it is committed.
# Usage: sh deploy/sites/lay.sh KIT_SITES, the kit's folder of the site that is deployed.
set -eu
[ -f "${1:?the kit folder of sites}/real.json" ] || { echo "no real.json in $1" >&2; exit 2; }
for variant in "$(dirname "$0")"/*/; do
    cp "$1/real.json" "$1/wire.json" "$1/design.json" "$1/unlock.txt" "$variant"
    chmod u+w "$variant"/*
done
