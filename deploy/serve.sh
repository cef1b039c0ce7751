#!/bin/sh
# One router on the operators' platform. Shares out the memory limit of its configuration, then becomes the JVM, so that
# signals reach it. Writes nothing: no perf-data file, no dump, no build.
memory=$(sed -n 's/.*"memory_mb"[: ]*\([0-9][0-9]*\).*/\1/p' "$LB_CONFIG" | head -n 1)
memory=${memory:-192}
heap=$((memory * 2 / 5))
export MALLOC_ARENA_MAX=1
exec java -Xms"${heap}m" -Xmx"${heap}m" -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:CICompilerCount=1 \
    -XX:ReservedCodeCacheSize=16m -XX:MaxMetaspaceSize=40m -XX:MaxDirectMemorySize=8m -Djdk.nio.maxCachedBufferSize=16384 \
    -Dashlink.trace="${ASHLINK_TRACE:-0}" -XX:-UsePerfData -XX:SharedArchiveFile=cli/target/ashlink.jsa -Xshare:auto -Xlog:cds=off -Djava.io.tmpdir="${TMPDIR:-/tmp}" -cp cli/target/ashlink.jar ashlink.cli.PlatformMain
