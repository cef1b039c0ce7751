package ashlink.router.core;

/**
 * Reason for which the core completed a request, as counted by the metric {@code
 * ashlink_answers_total}. Values are neither stored nor sent to clients. In contrast, {@link
 * StatementOutcome} describes the response that the client of a statement received.
 */
public enum RequestCompletion {
    /** The client received the complete response of an engine. */
    SERVED("served"),
    /** The client received an error of an engine that the statement itself caused. */
    ERROR("error"),
    /** The client received only a part of the response. */
    INCOMPLETE("broken"),
    /** The decision module rejected the request; a retry is safe. */
    REJECTED("refused"),
    /**
     * The core rejected the request before the decision module received it, because a limit was
     * reached or the router does not accept requests.
     */
    NOT_ADMITTED("turned away"),
    /** The decision module failed the request; the statement may have taken effect. */
    FAILED("failed"),
    /** The client disconnected or cancelled the request before its final response. */
    CLIENT_DISCONNECTED("client gone"),
    /** The decision module threw an exception when the request was submitted. */
    DECISION_ERROR("module error"),
    /** The decision module did not complete the request before its deadline. */
    DEADLINE_EXCEEDED("overdue"),
    /** The router stopped before the request was complete. */
    SHUTDOWN("stopped");

    private final String label;

    RequestCompletion(String label) {
        this.label = label;
    }

    /**
     * Returns the value of the label {@code answer} of the metric. Dashboards of operators depend
     * on these values.
     */
    public String label() {
        return label;
    }
}
