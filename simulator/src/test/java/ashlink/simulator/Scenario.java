package ashlink.simulator;

import ashlink.config.flat.Fields;
import java.util.List;

/**
 * A scenario that is recorded.
 *
 * @param name name of its transcript
 * @param seed seed of all random choices
 * @param events event lines after which the recording ends
 * @param instances instances of the decision module
 * @param engines engines of the endpoint list
 * @param queriesPerS mean rate of queries of one instance; the rate varies around it
 * @param faultsPerS rate of faults of engines
 * @param endpointChangesPerS rate of changes of the endpoint list
 * @param externalThreadsPerCore peak load of the engines by other routers
 * @param estimatedFraction fraction of the queries with an estimate of their work
 * @param workMs mean work of each class
 * @param settings settings of the instances, as fields of the protocol
 */
record Scenario(
        String name,
        long seed,
        int events,
        int instances,
        int engines,
        double queriesPerS,
        double faultsPerS,
        double endpointChangesPerS,
        double externalThreadsPerCore,
        double estimatedFraction,
        List<Double> workMs,
        String settings) {

    /** Returns the settings on one line. */
    String settingsLine() {
        return settings.strip().replaceAll("\\s+", " ");
    }

    /** Returns the settings by name. */
    Fields fields() {
        return LineFields.of("NEW_INSTANCE " + settingsLine());
    }
}
