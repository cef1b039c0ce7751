package ashlink.router.statement;

/**
 * Tracks which pages of a result exist and which of them are retained. Pages are added in order and
 * never change. The request of page n releases the pages before n-1, so that page n-1 can be
 * requested again until page n+1 is requested. Not safe for use by several threads.
 */
public final class PageWindow {

    /** The state of a requested page. */
    public enum PageState {
        /** The page exists. */
        AVAILABLE,
        /** The page is the next page to be added. */
        PENDING,
        /** The page was released. */
        RELEASED,
        /** The page will never exist, or other pages have to be added first. */
        INVALID
    }

    private int firstRetained;
    private int pageCount;
    private int highestRequested = -1;
    private boolean ended;

    /**
     * Adds the next page and returns its number.
     *
     * @throws IllegalStateException after {@link #end}
     */
    public int addPage() {
        if (ended) {
            throw new IllegalStateException(
                    "page " + pageCount + " added after the end of the result");
        }
        return pageCount++;
    }

    /** Records that no further page will be added. */
    public void end() {
        ended = true;
    }

    /** Records the request of a page; advances {@link #firstRetained} past the released pages. */
    public PageState request(int page) {
        if (page < 0 || page > pageCount || page == pageCount && ended) {
            return PageState.INVALID;
        }
        if (page < firstRetained) {
            return PageState.RELEASED;
        }
        if (page == pageCount) {
            return PageState.PENDING;
        }
        highestRequested = Math.max(highestRequested, page);
        firstRetained = Math.max(firstRetained, Math.min(page - 1, pageCount));
        return PageState.AVAILABLE;
    }

    /** Releases all pages and records that no further page will be added. */
    public void releaseAll() {
        firstRetained = pageCount;
        ended = true;
    }

    /** Returns the number of the first page that is retained. */
    public int firstRetained() {
        return firstRetained;
    }

    /** Returns the number of pages, including released ones. */
    public int pageCount() {
        return pageCount;
    }

    /** Returns whether a page is the last page of the result. */
    public boolean isLast(int page) {
        return ended && page == pageCount - 1;
    }

    /** Returns whether the last page of the result was requested. */
    public boolean isLastPageRequested() {
        return ended && highestRequested == pageCount - 1;
    }
}
