package ashlink.simulator;

import ashlink.config.flat.Fields;
import java.util.List;

/**
 * A scenario of which a transcript is recorded.
 *
 * @param name name of the transcript
 * @param seed seed of all random choices
 * @param events number of event lines after which the recording ends
 * @param instances number of instances of the decision module
 * @param engines number of engines in the endpoint list
 * @param queriesPerS mean query rate of one instance; the actual rate varies
 * @param faultsPerS rate of engine faults
 * @param endpointChangesPerS rate of endpoint list changes
 * @param externalThreadsPerCore peak load that other routers put on the engines
 * @param estimatedFraction fraction of queries with a work estimate
 * @param workMs mean work of each class in milliseconds
 * @param settings settings of the instances, as protocol fields
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

    /** Returns the settings as a single line. */
    String settingsLine() {
        return settings.strip().replaceAll("\\s+", " ");
    }

    /** Returns the settings as parsed fields. */
    Fields fields() {
        return LineFields.of("NEW_INSTANCE " + settingsLine());
    }
}
