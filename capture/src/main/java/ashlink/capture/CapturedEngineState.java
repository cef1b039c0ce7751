package ashlink.capture;

import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.LoadReport;
import java.util.Locale;

/** State of an engine as known to a decision module, derived from the events of a capture. */
final class CapturedEngineState {

    private static final double NS_PER_MS = 1e6;
    private static final double MS_PER_S = 1000;

    /** Null while the engine is not in the endpoint list. */
    private Endpoint endpoint;

    private LoadReport loadReport = LoadReport.NONE;
    private long reportedNs;
    private int inFlight;
    private String lastAttemptEnd = "";

    void setEndpoint(Endpoint endpoint) {
        this.endpoint = endpoint;
    }

    /** Stores a load report and its time; ignores an empty report. */
    void reportLoad(LoadReport report, long nowNs) {
        if (!report.equals(LoadReport.NONE)) {
            loadReport = report;
            reportedNs = nowNs;
        }
    }

    void attemptStarted() {
        inFlight++;
    }

    /**
     * Handles the end of an attempt.
     *
     * @param counted whether the start of the attempt was counted by {@link #attemptStarted}
     * @param description outcome and duration
     */
    void attemptEnded(boolean counted, String description) {
        if (counted) {
            inFlight--;
        }
        lastAttemptEnd = description;
    }

    /** Returns a one-line description of the state. */
    String describe(long nowNs) {
        String lastEnd = lastAttemptEnd.isEmpty() ? "" : "; last attempt " + lastAttemptEnd;
        return describeEndpoint(nowNs)
                + "; "
                + inFlight
                + " in flight from this router; "
                + describeLoad(nowNs)
                + lastEnd;
    }

    private String describeEndpoint(long nowNs) {
        if (endpoint == null) {
            return "not in the endpoint list";
        }
        String uptime =
                endpoint.startedNs() > 0
                        ? ", uptime "
                                + Math.round((nowNs - endpoint.startedNs()) / NS_PER_MS / MS_PER_S)
                                + " s"
                        : "";
        return endpoint.state()
                + ", kind "
                + endpoint.kind()
                + ", zone "
                + endpoint.zone()
                + uptime;
    }

    private String describeLoad(long nowNs) {
        if (loadReport.equals(LoadReport.NONE)) {
            return "no load report";
        }
        return String.format(
                Locale.ROOT,
                "load report %.0f ms old: queued %.0f, CPU %.2f, memory %.2f, disk %.2f",
                (nowNs - reportedNs) / NS_PER_MS,
                loadReport.queued(),
                loadReport.cpuUtilization(),
                loadReport.memoryUtilization(),
                loadReport.diskUtilization());
    }
}
