package ashlink.router.core;

/**
 * The limits of the requests that the core admits.
 *
 * @param maxQueuedEvents number of queued events from which on requests are not admitted, unless
 *     they are the only one of their source
 * @param maxOpenRequests number of requests without a final response from which on further requests
 *     are not admitted
 * @param maxSources number of sources that may submit requests at the same time
 */
public record AdmissionLimits(int maxQueuedEvents, int maxOpenRequests, int maxSources) {

    /**
     * Returns whether a source may open a further request. Any source may, up to half of all
     * places. The other half is shared out equally, so that sources that open as many requests as
     * they can leave a share for each other source.
     *
     * @param openRequests number of open requests of all sources
     * @param openRequestsOfSource number of open requests of the source
     */
    boolean mayOpen(int openRequests, int openRequestsOfSource) {
        return openRequests < maxOpenRequests
                && (openRequests < maxOpenRequests / 2
                        || openRequestsOfSource < reservedRequestsPerSource());
    }

    private int reservedRequestsPerSource() {
        return Math.max(1, maxOpenRequests / 2 / Math.max(1, maxSources));
    }
}
