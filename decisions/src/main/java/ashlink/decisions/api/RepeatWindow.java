package ashlink.decisions.api;

/**
 * The time within which a query that may have been executed may be sent again. The workload manager
 * asks before it starts an attempt, and the router asks again when the first byte is about to be
 * sent, because an attempt may wait for its connection in between.
 */
public final class RepeatWindow {

    /** Margin for the transfer to the engine. */
    private static final long TRANSFER_MARGIN_NS = 50_000_000L;

    private RepeatWindow() {}

    /**
     * Returns the end of the window.
     *
     * @param mayHaveRunSinceNs start of the first attempt that may have been executed
     * @return time from which on the query must not be sent, in nanoseconds on the router's clock;
     *     {@link Long#MAX_VALUE} if there is none, {@link Long#MIN_VALUE} if the query must not be
     *     sent again at any time
     */
    public static long endNs(QueryClass queryClass, long mayHaveRunSinceNs) {
        return switch (queryClass.retrySafety()) {
            case IDEMPOTENT -> Long.MAX_VALUE;
            case AT_MOST_ONCE -> Long.MIN_VALUE;
            case DEDUPLICATED ->
                    mayHaveRunSinceNs + queryClass.deduplicationWindowNs() - TRANSFER_MARGIN_NS;
        };
    }
}
