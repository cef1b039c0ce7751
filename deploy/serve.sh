#!/bin/bash
# One router on the operators' platform. Shares out the memory limit of its configuration, then becomes the JVM, so that
# signals reach it. Writes nothing: no perf-data file, no dump, no build. Starts nothing: the platform refuses a fork, so
# that the configuration is read by the shell itself, in one gulp.
IFS= read -r -d '' config < "$LB_CONFIG"
[[ $config =~ \"memory_mb\"[[:space:]]*:[[:space:]]*([0-9]+) ]]
memory=${BASH_REMATCH[1]:-192}
heap=$((memory * 2 / 5))
export MALLOC_ARENA_MAX=1
exec java -Xms"${heap}m" -Xmx"${heap}m" -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:CICompilerCount=1 \
    -XX:ReservedCodeCacheSize=16m -XX:MaxMetaspaceSize=40m -XX:MaxDirectMemorySize=8m -Djdk.nio.maxCachedBufferSize=16384 \
    -Dashlink.trace="${ASHLINK_TRACE:-0}" -XX:-UsePerfData -XX:SharedArchiveFile=cli/target/ashlink.jsa -Xshare:auto -Xlog:cds=off -Djava.io.tmpdir="${TMPDIR:-/tmp}" -cp cli/target/ashlink.jar ashlink.cli.PlatformMain
