package ashlink.router.http;

/**
 * The result of a poll: a page, a problem, or neither if the page is still pending.
 *
 * @param page number of the page; negative if there is none
 * @param blocks blocks of the page in the native format, or null
 * @param header block without rows that names the columns, or null
 * @param last whether the page is the last one
 * @param problem the problem, or null
 */
record PollResult(int page, byte[] blocks, byte[] header, boolean last, ProblemDetail problem) {

    /** Value of {@code page} if there is no page. */
    static final int NO_PAGE = -1;

    static PollResult pending() {
        return new PollResult(NO_PAGE, null, null, false, null);
    }

    static PollResult of(ProblemDetail problem) {
        return new PollResult(NO_PAGE, null, null, false, problem);
    }

    boolean isPage() {
        return page >= 0;
    }

    /** Returns whether this poll returned the end of the result: the last page or a problem. */
    boolean endsResult() {
        return isPage() && last || problem != null;
    }
}
