package ashlink.router.http;

import ashlink.router.http.StatementSubmission.InvalidSubmissionException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Fields;

/** Parses the query parameters of a request. */
final class RequestParameters {

    private static final double NS_PER_S = 1e9;
    private static final String WAIT = "wait";

    private RequestParameters() {}

    /** Returns the query parameters by name, in the order of the URI. */
    static Map<String, String> read(Request request) throws InvalidSubmissionException {
        Map<String, String> parameters = new LinkedHashMap<>();
        try {
            for (Fields.Field field : Request.extractQueryParameters(request)) {
                parameters.put(field.getName(), field.getValue());
            }
        } catch (RuntimeException e) {
            throw new InvalidSubmissionException(
                    ProblemDetail.Kind.BAD_REQUEST, "the query parameters cannot be parsed");
        }
        return parameters;
    }

    /** Returns how long a poll waits, at most {@code maxWaitNs}; 0 without the parameter. */
    static long waitNs(Map<String, String> parameters, long maxWaitNs)
            throws InvalidSubmissionException {
        String text = parameters.get(WAIT);
        if (text == null) {
            return 0;
        }
        double seconds = parseSeconds(text);
        if (seconds >= 0) {
            return (long) Math.min(maxWaitNs, seconds * NS_PER_S);
        }
        throw new InvalidSubmissionException(
                ProblemDetail.Kind.BAD_REQUEST,
                "invalid wait " + text + ": a number of seconds of at least 0, such as 0.5");
    }

    private static double parseSeconds(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
