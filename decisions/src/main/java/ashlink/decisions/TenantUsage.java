package ashlink.decisions;

/** The recent usage of one tenant with a quota. */
final class TenantUsage {

    /** Quota in queries per second, over all routers. */
    final double quotaPerS;

    /** Number of recent queries, decayed exponentially. */
    double recentQueries;

    long lastQueryNs = Nanos.NEVER;

    TenantUsage(double quotaPerS) {
        this.quotaPerS = quotaPerS;
    }
}
