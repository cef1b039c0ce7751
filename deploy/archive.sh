#!/bin/sh
# Called by the build from the root directory: starts a router on the loopback interface, sends it requests, and writes
# the loaded classes to a CDS archive, so that later starts neither parse nor verify them. The archive is optional:
# without it, a router starts more slowly.
set -e
archive=cli/target/ashlink.jsa
rm -f "$archive"
exec java -XX:ArchiveClassesAtExit="$archive" -Xlog:cds=off -Xlog:cds+dynamic=off -Xmx64m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
    -XX:-UsePerfData -cp cli/target/ashlink.jar ashlink.cli.PlatformMain selftest examples/platform.json
