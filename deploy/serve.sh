#!/bin/bash
# Starts one router on the operators' platform. Derives the heap size from the memory limit in the configuration, then
# replaces the shell with the JVM, so that the JVM receives signals. Writes no files: no perf-data file, no dump, no build.
# Starts no other program, because the platform does not allow fork; the shell itself therefore reads the configuration,
# in parts and up to the limit only, because the known events of a large fleet would take much memory here.
memory=192
text=
while IFS= read -r -N 65536 part || [[ -n $part ]]; do
    text+=$part
    if [[ $text =~ \"memory_mb\"[[:space:]]*:[[:space:]]*([0-9]+)[^0-9] ]]; then
        memory=${BASH_REMATCH[1]}
        break
    fi
    text=${text:${#text} > 64 ? ${#text} - 64 : 0}
done < "$LB_CONFIG"
unset text part
heap=$((memory * 2 / 5))
export MALLOC_ARENA_MAX=1
exec java -Xms"${heap}m" -Xmx"${heap}m" -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:CICompilerCount=1 \
    -XX:ReservedCodeCacheSize=16m -XX:MaxMetaspaceSize=40m -XX:MaxDirectMemorySize=8m -Djdk.nio.maxCachedBufferSize=16384 \
    -Dashlink.trace="${ASHLINK_TRACE:-0}" -XX:-UsePerfData -XX:SharedArchiveFile=cli/target/ashlink.jsa -Xshare:auto -Xlog:cds=off -Djava.io.tmpdir="${TMPDIR:-/tmp}" -cp cli/target/ashlink.jar ashlink.cli.PlatformMain
