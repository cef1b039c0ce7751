package ashlink.loadtest.load;

/**
 * Current deviations from the usual load. Fault injection sets them; the load generator reads them
 * for each query.
 */
public final class LoadConditions {

    private volatile double rate = 1;
    private volatile String heavyClass = "";
    private volatile double heavyFactor = 1;
    private volatile double hotGroupShare;
    private volatile String hotRouter = "";
    private volatile double hotRouterShare;

    /** Multiplies the arrival rate by the factor. */
    public void rate(double factor) {
        rate = factor;
    }

    /** Multiplies the work of the queries of a class by the factor. */
    public void heavy(String queryClass, double factor) {
        heavyFactor = factor;
        heavyClass = queryClass;
    }

    /** Sends the given fraction of all queries to one table group. */
    public void hotGroup(double share) {
        hotGroupShare = share;
    }

    /** Sends the given fraction of all queries without a key to one router. */
    public void hotRouter(String router, double share) {
        hotRouter = router;
        hotRouterShare = share;
    }

    double rate() {
        return rate;
    }

    double work(String queryClass) {
        return queryClass.equals(heavyClass) ? heavyFactor : 1;
    }

    double hotGroupShare() {
        return hotGroupShare;
    }

    String hotRouter() {
        return hotRouter;
    }

    double hotRouterShare() {
        return hotRouterShare;
    }
}
