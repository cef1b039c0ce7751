package ashlink.router.statement;

/**
 * The numbers of the pages of a result that exist and are retained. A page is closed once and never
 * changes. The request of page n releases the pages before n-1, so a page can be requested again
 * until the page after the next one is requested. Not safe for use by several threads.
 */
public final class PageWindow {

    /** The state of a requested page. */
    public enum PageState {
        /** The page exists. */
        AVAILABLE,
        /** The page is the next one to be closed. */
        PENDING,
        /** The page was released. */
        RELEASED,
        /** The page will never exist, or not before others. */
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
            throw new IllegalStateException("page " + closedCount + " after the end");
        }
        return closedCount++;
    }

    /** No further page will be closed. */
    public void end() {
        ended = true;
    }

    /** Handles the request of a page; {@link #firstRetained} tells afterwards what it released. */
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

    /** Releases all pages; no further one will be closed. */
    public void releaseAll() {
        firstRetained = closedCount;
        ended = true;
    }

    /** Returns the lowest page that is retained. */
    public int firstRetained() {
        return firstRetained;
    }

    /** Returns the number of closed pages. */
    public int closedCount() {
        return closedCount;
    }

    /** Tells whether a page is the last one of the result. */
    public boolean isLast(int page) {
        return ended && page == closedCount - 1;
    }

    /** Tells whether the last page was requested. */
    public boolean isLastPageRequested() {
        return ended && highestRequested == closedCount - 1;
    }
}
