package ashlink.decisions.api;

import java.util.List;

/**
 * Decides which queries of one router run, where and when: events and the time go in, actions come
 * out.
 *
 * <p>An implementation is not thread-safe, reads no clock and does no I/O. Times are nanoseconds on
 * the router's own monotonic clock. Events are delivered in the order in which they arrive, and the
 * actions are carried out in the order in which they are returned.
 */
public interface WorkloadManager {

    /**
     * Handles one event.
     *
     * @param event what happened
     * @param nowNs the time of the event; never less than that of an earlier event
     * @return the actions to carry out, in order; empty if there is nothing to do
     */
    List<Action> onEvent(Event event, long nowNs);
}
