package ashlink.loadtest.scenario;

import ashlink.emulator.Ledger;

/**
 * A statement as recorded by an engine. Times are from {@link System#nanoTime}.
 *
 * @param router router that sent the statement
 * @param tag tag that the client gave to the statement
 * @param beganNs time at which the engine received the statement
 * @param ranNs time at which the engine had received everything required to execute the statement,
 *     0 if it never had
 * @param outUntilNs time at which the statement ended or the router stopped waiting for it, as the
 *     engine observed it; {@link Long#MAX_VALUE} if neither happened
 * @param how how the statement ended at the engine
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

    /** Creates the record of a ledger entry. */
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
                entry.how());
    }
}
