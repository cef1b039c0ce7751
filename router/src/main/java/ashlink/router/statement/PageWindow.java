package ashlink.router.statement;

/**
 * Tracks which pages of a result exist and which of them are retained. A closed page never changes.
 * The request of page n releases the pages before n-1, so that page n-1 can be requested again
 * until page n+1 is requested. Not safe for use by several threads.
 */
public final class PageWindow {

    /** The state of a requested page. */
    public enum PageState {
        /** The page exists. */
        AVAILABLE,
        /** The page is the next page to be closed. */
        PENDING,
        /** The page was released. */
        RELEASED,
        /** The page will never exist, or other pages have to be closed before it. */
        INVALID
    }

    private int firstRetained;
    private int closedCount;
    private int highestRequested = -1;
    private boolean ended;

    /**
     * Closes the next page and returns its number.
     *
     * @throws IllegalStateException after {@link #end}
     */
    public int closePage() {
        if (ended) {
            throw new IllegalStateException(
                    "page " + closedCount + " closed after the end of the result");
        }
        return closedCount++;
    }

    /** Records that no further page will be closed. */
    public void end() {
        ended = true;
    }

    /** Records the request of a page; advances {@link #firstRetained} past the released pages. */
    public PageState request(int page) {
        if (page < 0 || page > closedCount || page == closedCount && ended) {
            return PageState.INVALID;
        }
        if (page < firstRetained) {
            return PageState.RELEASED;
        }
        if (page == closedCount) {
            return PageState.PENDING;
        }
        highestRequested = Math.max(highestRequested, page);
        firstRetained = Math.max(firstRetained, Math.min(page - 1, closedCount));
        return PageState.AVAILABLE;
    }

    /** Releases all pages and records that no further page will be closed. */
    public void releaseAll() {
        firstRetained = closedCount;
        ended = true;
    }

    /** Returns the number of the first page that is retained. */
    public int firstRetained() {
        return firstRetained;
    }

    /** Returns the number of closed pages. */
    public int closedCount() {
        return closedCount;
    }

    /** Returns whether a page is the last page of the result. */
    public boolean isLast(int page) {
        return ended && page == closedCount - 1;
    }

    /** Returns whether the last page of the result was requested. */
    public boolean isLastPageRequested() {
        return ended && highestRequested == closedCount - 1;
    }
}
