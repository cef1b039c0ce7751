package ashlink.decisions.api;

/**
 * An engine as service discovery lists it.
 *
 * @param engine identifier of the engine
 * @param state its state
 * @param zone its zone
 * @param kind name of its {@link EngineKind}
 * @param cell its cell, the unit in which engines may share idempotency keys
 * @param startedNs time of its start on the router's clock; 0 if long ago or unknown
 */
public record Endpoint(
        String engine, EndpointState state, String zone, String kind, long cell, long startedNs) {}
