package ashlink.loadtest.scenario;

import ashlink.emulator.Ledger;

/**
 * A statement as an engine noted it. Times are of {@link System#nanoTime}.
 *
 * @param router that sent it
 * @param tag that its client gave it
 * @param ranNs when the engine had all it needs to run it, 0 if it never had
 * @param outUntilNs when it was over, or its router through with it, as the engine saw it
 */
public record SentQuery(
        String engine,
        String kind,
        String zone,
        String router,
        String tag,
        double workMs,
        long beganNs,
        long ranNs,
        long outUntilNs,
        Ledger.How how) {

    private static final String ROUTER_PREFIX = "ashlink ";

    /** An entry of a ledger. */
    public static SentQuery of(Ledger.Entry e) {
        long until = e.endedNs() > 0 ? e.endedNs() : Long.MAX_VALUE;
        until = e.releasedNs() > 0 ? Math.min(until, e.releasedNs()) : until;
        String router =
                e.router.startsWith(ROUTER_PREFIX)
                        ? e.router.substring(ROUTER_PREFIX.length())
                        : e.router;
        return new SentQuery(
                e.engine, e.kind, e.zone, router, e.tag, e.workMs, e.beganNs, e.ranNs(), until,
                e.how());
    }
}
