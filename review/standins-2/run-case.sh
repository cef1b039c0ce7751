#!/bin/bash
# Runs a case: run-case.sh FOLDER CLASS. Exits with its verdict: 0 held, 1 broken, 2 could not run.
folder=$1
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
export ASHLINK_ROOT=$(cd "$here/../.." && pwd)
export RECORD=$folder/record.txt
if [ ! -f "$here/target/$2.class" ] || [ ! -f "$ASHLINK_ROOT/cli/target/ashlink.jar" ]; then
    echo "not built: run the build of the deploy file and review/build-2.sh" | tee "$RECORD"
    exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
# Under nohup SIGHUP would be ignored by all that is started here, the router too.
if env --default-signal=HUP true 2>/dev/null; then
    reset_signals="env --default-signal=HUP"
else
    reset_signals=
fi
$reset_signals java -Xmx1g -cp "$here/target" "$2" &
case_pid=$!
# SIGTERM makes the case end the router that it started. The case itself ends after 115 s at the latest.
trap 'kill "$case_pid" 2>/dev/null' INT TERM
wait "$case_pid"
status=$?
if [ "$status" -gt 128 ]; then
    wait "$case_pid" 2>/dev/null
fi
rm -rf "$CASE_TMP"
[ "$status" -le 2 ] || status=2
exit "$status"
