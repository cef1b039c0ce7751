package ashlink.router.core;

/** How a request was finished, as counted in {@code ashlink_answers_total}. */
public enum FinalAnswer {
    /** An engine's complete response. */
    SERVED("served"),
    /** An engine's error that is the statement's own. */
    ERROR("error"),
    /** A response that broke off after its first part. */
    INCOMPLETE("broken"),
    /** Rejected by the decision module: a retry is harmless. */
    REJECTED("refused"),
    /** Rejected before the decision module received it, since a limit was reached. */
    NOT_ADMITTED("turned away"),
    /** Failed by the decision module: no promise about its effect. */
    FAILED("failed"),
    /** The client disconnected or cancelled before an answer. */
    CLIENT_DISCONNECTED("client gone"),
    /** The decision module threw on it. */
    DECISION_ERROR("module error"),
    /** The decision module gave no answer before the deadline. */
    DEADLINE_EXCEEDED("overdue"),
    /** The router stopped. */
    SHUTDOWN("stopped");

    private final String label;

    FinalAnswer(String label) {
        this.label = label;
    }

    /** Value of the label {@code answer} of the metric; operators' dashboards depend on it. */
    public String label() {
        return label;
    }
}
