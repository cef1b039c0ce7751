package ashlink.loadtest.load;

/** What is unusual about a load at the moment; set by the script, read as each query is drawn. */
public final class LoadConditions {

    private volatile double rate = 1;
    private volatile String heavyClass = "";
    private volatile double heavyFactor = 1;
    private volatile double hotGroupShare;
    private volatile String hotRouter = "";
    private volatile double hotRouterShare;

    /** So many times the usual rate. */
    public void rate(double factor) {
        rate = factor;
    }

    /** Queries of that class cost so many times the usual. */
    public void heavy(String queryClass, double factor) {
        heavyFactor = factor;
        heavyClass = queryClass;
    }

    /** That share of all queries goes to one group of tables. */
    public void hotGroup(double share) {
        hotGroupShare = share;
    }

    /** That share of all queries comes to that router. */
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
