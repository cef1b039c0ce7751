package ashlink.router.statement;

/**
 * Which pages of a result there are. A page is closed once and never changes. Who asks for page n
 * has all before page n-1: those are let go, so that a page can be asked for again, late or beside
 * the next one, until the one after the next is asked for.
 */
public final class PageWindow {

    /** What becomes of an asking. */
    public enum PageState {
        /** The page is there. */
        AVAILABLE,
        /** It is the next that comes. */
        PENDING,
        /** It was let go. */
        RELEASED,
        /** There is and comes no such page, or not before others. */
        INVALID
    }

    private int firstRetained;
    private int closedCount;
    private int highestRequested = -1;
    private boolean ended;

    /** Closes the next page, and returns its number. */
    public int closePage() {
        if (ended) {
            throw new IllegalStateException("a page after the end");
        }
        return closedCount++;
    }

    /** No further page comes. */
    public void end() {
        ended = true;
    }

    /**
     * What becomes of an asking for that page; {@link #firstRetained} says afterwards what was let
     * go.
     */
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

    /** All pages are let go. */
    public void releaseAll() {
        firstRetained = closedCount;
        ended = true;
    }

    /** The lowest page that is kept. */
    public int firstRetained() {
        return firstRetained;
    }

    /** Pages closed so far. */
    public int closedCount() {
        return closedCount;
    }

    /** True for the last page of all. */
    public boolean isLast(int page) {
        return ended && page == closedCount - 1;
    }

    /** True once the last page was asked for. */
    public boolean isLastPageRequested() {
        return ended && highestRequested == closedCount - 1;
    }
}
