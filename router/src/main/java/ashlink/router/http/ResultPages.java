package ashlink.router.http;

import ashlink.router.spool.PageStore;
import ashlink.router.spool.PageStore.StoredPage;
import ashlink.router.statement.PageWindow;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The published pages of a result. Callers synchronize, except on {@link #nextPageNumber}. */
final class ResultPages {

    private final PageStore store;
    private final PageWindow window = new PageWindow();

    /** The pages by number; null for a released page. */
    private final List<StoredPage> pages = new ArrayList<>();

    ResultPages(PageStore store) {
        this.store = store;
    }

    /** Returns the number of the next page; the thread that adds pages needs no lock for it. */
    int nextPageNumber() {
        return window.pageCount();
    }

    void add(StoredPage page) {
        window.addPage();
        pages.add(page);
    }

    /** Records that no further page will be added. */
    void end() {
        window.end();
    }

    /** Records the request of a page and releases the pages that are no longer retained. */
    PageWindow.PageState request(int page) {
        int firstBefore = window.firstRetained();
        PageWindow.PageState state = window.request(page);
        for (int i = firstBefore; i < window.firstRetained(); i++) {
            store.release(pages.get(i));
            pages.set(i, null);
        }
        return state;
    }

    /**
     * Reads an available page.
     *
     * @throws IOException if the stored bytes cannot be read or are damaged
     */
    byte[] read(int page) throws IOException {
        return store.read(pages.get(page));
    }

    void releaseAll() {
        window.releaseAll();
        for (StoredPage page : pages) {
            if (page != null) {
                store.release(page);
            }
        }
        pages.clear();
    }

    int firstRetained() {
        return window.firstRetained();
    }

    boolean isLast(int page) {
        return window.isLast(page);
    }

    boolean isLastPageRequested() {
        return window.isLastPageRequested();
    }
}
