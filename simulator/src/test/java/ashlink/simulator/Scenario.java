package ashlink.simulator;

import ashlink.config.flat.Fields;
import java.util.List;

/**
 * One scripted world to record.
 *
 * @param name name of its transcript
 * @param seed seed of all that is drawn
 * @param events event lines after which the recording ends
 * @param instances gateways that are played
 * @param engines engines of the list
 * @param perSecond queries a second and gateway, around which the rate swings
 * @param troubles engine troubles a second
 * @param news changes of the list a second
 * @param foreign threads a core, at its peak, that other gateways keep running in the engines
 * @param estimated share of the queries with an estimate of their work
 * @param workMs mean work of each class in milliseconds
 * @param settings settings of the gateways, pairs of the wire
 */
record Scenario(
        String name,
        long seed,
        int events,
        int instances,
        int engines,
        double perSecond,
        double troubles,
        double news,
        double foreign,
        double estimated,
        List<Double> workMs,
        String settings) {

    /** The settings on one line. */
    String settingsLine() {
        return settings.strip().replaceAll("\\s+", " ");
    }

    /** The settings by name. */
    Fields fields() {
        return LineFields.of("NEW_INSTANCE " + settingsLine());
    }
}
