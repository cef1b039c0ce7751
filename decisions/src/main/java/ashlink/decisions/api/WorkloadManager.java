package ashlink.decisions.api;

import java.util.List;

/**
 * Decides which queries of one router run, when and on which engine. The input is a sequence of
 * events with their times, the output a list of actions per event.
 *
 * <p>An implementation is not thread-safe, reads no clock and performs no I/O. Times are in
 * nanoseconds on the router's monotonic clock. Events are delivered in order of arrival, and the
 * actions are carried out in the order in which they are returned.
 */
public interface WorkloadManager {

    /**
     * Handles one event.
     *
     * @param event the event
     * @param nowNs time of the event; not less than the time of any earlier event
     * @return the actions to carry out, in order; empty if there are none
     */
    List<Action> onEvent(Event event, long nowNs);
}
