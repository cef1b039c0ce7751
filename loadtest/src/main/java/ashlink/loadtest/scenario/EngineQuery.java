package ashlink.loadtest.scenario;

import ashlink.emulator.Ledger;

/**
 * A statement as recorded by an engine. Times are from {@link System#nanoTime}.
 *
 * @param router router that sent the statement
 * @param tag tag that the client gave to the statement
 * @param receivedNs time at which the engine received the statement
 * @param executableNs time at which the engine had received everything required to execute the
 *     statement, 0 if it never had
 * @param finishedNs time at which the statement ended or the router stopped waiting for it, as the
 *     engine observed it; {@link Long#MAX_VALUE} if neither happened
 * @param outcome how the statement ended at the engine
 */
public record EngineQuery(
        String engine,
        String kind,
        String zone,
        String router,
        String tag,
        double workMs,
        long receivedNs,
        long executableNs,
        long finishedNs,
        Ledger.Outcome outcome) {

    private static final String ROUTER_PREFIX = "ashlink ";

    /** Creates the record of a ledger entry. */
    public static EngineQuery of(Ledger.Entry entry) {
        long finishedNs = entry.endedNs() > 0 ? entry.endedNs() : Long.MAX_VALUE;
        finishedNs = entry.releasedNs() > 0 ? Math.min(finishedNs, entry.releasedNs()) : finishedNs;
        String router =
                entry.router.startsWith(ROUTER_PREFIX)
                        ? entry.router.substring(ROUTER_PREFIX.length())
                        : entry.router;
        return new EngineQuery(
                entry.engine,
                entry.kind,
                entry.zone,
                router,
                entry.tag,
                entry.workMs,
                entry.beganNs,
                entry.ranNs(),
                finishedNs,
                entry.outcome());
    }
}
