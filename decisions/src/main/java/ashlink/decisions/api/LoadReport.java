package ashlink.decisions.api;

/**
 * The load report of an engine; a value that the engine does not report is NaN.
 *
 * @param queued number of queries waiting on the engine
 * @param cpuUtilization fraction of the cores that are busy
 * @param memoryUtilization fraction of the memory that is granted
 * @param diskUtilization fraction of the disks that are busy
 * @param inFlight number of running and waiting queries from all routers
 */
public record LoadReport(
        double queued,
        double cpuUtilization,
        double memoryUtilization,
        double diskUtilization,
        double inFlight) {

    /** The report of an engine that reports no values. */
    public static final LoadReport NONE =
            new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN);

    /** Creates a report without the number of queries in flight. */
    public LoadReport(
            double queued,
            double cpuUtilization,
            double memoryUtilization,
            double diskUtilization) {
        this(queued, cpuUtilization, memoryUtilization, diskUtilization, Double.NaN);
    }
}
