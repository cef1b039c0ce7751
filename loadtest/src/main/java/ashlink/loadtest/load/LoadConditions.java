package ashlink.loadtest.load;

/**
 * Current deviations from the usual load. Fault injection sets them; the load generator reads them
 * for each query.
 */
public final class LoadConditions {

    private volatile double rateFactor = 1;
    private volatile String workFactorClass = "";
    private volatile double workFactor = 1;
    private volatile double hotTableGroupFraction;
    private volatile String hotRouter = "";
    private volatile double hotRouterFraction;

    /** Multiplies the arrival rate by the factor. */
    public void setRateFactor(double factor) {
        rateFactor = factor;
    }

    /** Multiplies the work of the queries of a class by the factor. */
    public void setWorkFactor(String queryClass, double factor) {
        workFactor = factor;
        workFactorClass = queryClass;
    }

    /** Sends the given fraction of all queries to one table group. */
    public void setHotTableGroup(double fraction) {
        hotTableGroupFraction = fraction;
    }

    /** Sends the given fraction of all queries without a key to one router. */
    public void setHotRouter(String router, double fraction) {
        hotRouter = router;
        hotRouterFraction = fraction;
    }

    double rateFactor() {
        return rateFactor;
    }

    double workFactor(String queryClass) {
        return queryClass.equals(workFactorClass) ? workFactor : 1;
    }

    double hotTableGroupFraction() {
        return hotTableGroupFraction;
    }

    String hotRouter() {
        return hotRouter;
    }

    double hotRouterFraction() {
        return hotRouterFraction;
    }
}
