package ashlink.decisions.api;

/**
 * A kind of engine.
 *
 * @param name unique name of the kind
 * @param cores processor cores of an engine of this kind
 * @param memoryMb memory of an engine of this kind, in MB; 0 if unknown
 */
public record EngineKind(String name, int cores, double memoryMb) {}
