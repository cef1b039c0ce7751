package ashlink.decisions.api;

/**
 * An engine's load report; a value that the engine does not report is NaN.
 *
 * @param queued queries that wait on the engine
 * @param cpuUtilization fraction of its cores that are busy
 * @param memoryUtilization fraction of its memory that is granted
 * @param diskUtilization fraction of its disks that are busy
 * @param inFlight queries that it runs or queues, from all routers
 */
public record LoadReport(
        double queued,
        double cpuUtilization,
        double memoryUtilization,
        double diskUtilization,
        double inFlight) {

    /** The report of an engine that reports nothing. */
    public static final LoadReport NONE =
            new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN);

    /** A report without the number of queries in flight. */
    public LoadReport(
            double queued,
            double cpuUtilization,
            double memoryUtilization,
            double diskUtilization) {
        this(queued, cpuUtilization, memoryUtilization, diskUtilization, Double.NaN);
    }
}
