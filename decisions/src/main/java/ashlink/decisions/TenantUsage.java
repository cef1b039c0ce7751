package ashlink.decisions;

/** The recent queries of one tenant with a quota. */
final class TenantUsage {

    /** Queries per second, over all routers. */
    final double quotaPerS;

    /** Number of recent queries; it decays exponentially. */
    double recentQueries;

    long lastQueryNs = Nanos.NEVER;

    TenantUsage(double quotaPerS) {
        this.quotaPerS = quotaPerS;
    }
}
