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
        Ledger.Outcome how) {

    private static final String ROUTER_PREFIX = "ashlink ";

    /** An entry of a ledger. */
    public static SentQuery of(Ledger.Entry entry) {
        long until = entry.endedNs() > 0 ? entry.endedNs() : Long.MAX_VALUE;
        until = entry.releasedNs() > 0 ? Math.min(until, entry.releasedNs()) : until;
        String router =
                entry.router.startsWith(ROUTER_PREFIX)
                        ? entry.router.substring(ROUTER_PREFIX.length())
                        : entry.router;
        return new SentQuery(
                entry.engine,
                entry.kind,
                entry.zone,
                router,
                entry.tag,
                entry.workMs,
                entry.beganNs,
                entry.ranNs(),
                until,
                entry.outcome());
    }
}
