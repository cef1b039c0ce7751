#!/bin/sh
# Run by the build from the root: starts a router on loopback, asks it, and archives the classes that it loaded, so that
# later starts neither parse nor verify them. Without the archive a router starts all the same, only later.
set -e
archive=cli/target/ashlink.jsa
rm -f "$archive"
exec java -XX:ArchiveClassesAtExit="$archive" -Xlog:cds=off -Xlog:cds+dynamic=off -Xmx64m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
    -XX:-UsePerfData -cp cli/target/ashlink.jar ashlink.cli.PlatformMain selftest examples/platform.json
