#!/bin/bash
# Starts one router on the operators' platform. Derives the heap size from the memory limit in the configuration, then
# replaces the shell with the JVM, so that the JVM receives signals. Writes no files: no perf-data file, no dump, no build.
# Starts no other program, because the platform does not allow fork; the shell itself therefore reads the whole
# configuration with one read command.
IFS= read -r -d '' config < "$LB_CONFIG"
[[ $config =~ \"memory_mb\"[[:space:]]*:[[:space:]]*([0-9]+) ]]
memory=${BASH_REMATCH[1]:-192}
heap=$((memory * 2 / 5))
export MALLOC_ARENA_MAX=1
exec java -Xms"${heap}m" -Xmx"${heap}m" -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:CICompilerCount=1 \
    -XX:ReservedCodeCacheSize=16m -XX:MaxMetaspaceSize=40m -XX:MaxDirectMemorySize=8m -Djdk.nio.maxCachedBufferSize=16384 \
    -Dashlink.trace="${ASHLINK_TRACE:-0}" -XX:-UsePerfData -XX:SharedArchiveFile=cli/target/ashlink.jsa -Xshare:auto -Xlog:cds=off -Djava.io.tmpdir="${TMPDIR:-/tmp}" -cp cli/target/ashlink.jar ashlink.cli.PlatformMain
