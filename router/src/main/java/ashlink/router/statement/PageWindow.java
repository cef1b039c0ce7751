package ashlink.router.statement;

/**
 * Which pages of a result there are. A page is closed once and never changes. Who asks for page n
 * has all before page n-1: those are let go, so that a page can be asked for again, late or beside
 * the next one, until the one after the next is asked for.
 */
public final class PageWindow {

    /** What becomes of an asking. */
    public enum Kind {
        /** The page is there. */
        THERE,
        /** It is the next that comes. */
        NOT_YET,
        /** It was let go. */
        GONE,
        /** There is and comes no such page, or not before others. */
        NEVER
    }

    private int first;
    private int closed;
    private int highestAsked = -1;
    private boolean ended;

    /** Closes the next page, and returns its number. */
    public int close() {
        if (ended) {
            throw new IllegalStateException("a page after the end");
        }
        return closed++;
    }

    /** No further page comes. */
    public void end() {
        ended = true;
    }

    /** What becomes of an asking for that page; {@link #first} says afterwards what was let go. */
    public Kind ask(int page) {
        if (page < 0 || page > closed || page == closed && ended) {
            return Kind.NEVER;
        }
        if (page < first) {
            return Kind.GONE;
        }
        if (page == closed) {
            return Kind.NOT_YET;
        }
        highestAsked = Math.max(highestAsked, page);
        first = Math.max(first, Math.min(page - 1, closed));
        return Kind.THERE;
    }

    /** All pages are let go. */
    public void dropAll() {
        first = closed;
        ended = true;
    }

    /** The lowest page that is kept. */
    public int first() {
        return first;
    }

    /** Pages closed so far. */
    public int closed() {
        return closed;
    }

    /** True for the last page of all. */
    public boolean isLast(int page) {
        return ended && page == closed - 1;
    }

    /** True once the last page was asked for. */
    public boolean isEndFetched() {
        return ended && highestAsked == closed - 1;
    }
}
