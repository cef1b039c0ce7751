package ashlink.decisions.api;

/**
 * An engine as listed by service discovery.
 *
 * @param engine identifier of the engine
 * @param state state of the engine
 * @param zone zone of the engine
 * @param kind name of the {@link EngineKind}
 * @param cell cell of the engine; the engines of a cell may share idempotency keys
 * @param startedNs start time of the engine on the router's clock; 0 if long ago or unknown
 */
public record Endpoint(
        String engine, EndpointState state, String zone, String kind, long cell, long startedNs) {}
