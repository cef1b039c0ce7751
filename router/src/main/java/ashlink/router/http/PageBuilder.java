package ashlink.router.http;

import ashlink.router.spool.PageStore.StoredPage;
import ashlink.wire.ByteBuf;
import ashlink.wire.Quota;
import ashlink.wire.WireException;
import java.io.IOException;
import java.util.Arrays;

/** Collects blocks of a result into pages. Used only by the thread that writes the result. */
final class PageBuilder {

    /** Receives the pages. */
    interface Target {

        /** Stores the first {@code length} bytes as the next page; may block. */
        StoredPage store(byte[] blocks, int length) throws IOException;

        /** Makes a stored page available. */
        void publish(StoredPage page);
    }

    private final long pageBytes;
    private final ByteBuf openPage;
    private final Target target;

    /**
     * Creates a builder with an empty open page.
     *
     * @param pageBytes size at which a page is complete
     * @param maxBlockBytes size of the largest block
     * @param memory memory budget of the open page
     */
    PageBuilder(long pageBytes, long maxBlockBytes, Quota memory, Target target) {
        this.pageBytes = pageBytes;
        this.openPage = new ByteBuf(pageBytes + maxBlockBytes, memory);
        this.target = target;
    }

    /** Appends a block; completes the open page first if the block does not fit into the page. */
    void append(byte[] bytes, int offset, int length) throws IOException {
        if (!isEmpty() && openPage.size() + (long) length > pageBytes) {
            completePage();
        }
        if (length >= pageBytes || !appendToOpenPage(bytes, offset, length)) {
            if (!isEmpty()) {
                completePage();
            }
            byte[] page = Arrays.copyOfRange(bytes, offset, offset + length);
            target.publish(target.store(page, length));
        }
    }

    /** Returns false if the budget is exhausted; the block then becomes a separate page. */
    private boolean appendToOpenPage(byte[] bytes, int offset, int length) {
        try {
            openPage.append(bytes, offset, length);
            return true;
        } catch (WireException e) {
            return false;
        }
    }

    boolean isEmpty() {
        return openPage.size() == 0;
    }

    boolean isFull() {
        return openPage.size() >= pageBytes;
    }

    /** Stores and publishes the open page. */
    void completePage() throws IOException {
        target.publish(storeOpenPage());
    }

    /** Stores the open page, which may be empty, without publishing it. */
    StoredPage storeOpenPage() throws IOException {
        StoredPage page = target.store(openPage.array(), openPage.size());
        openPage.clear();
        return page;
    }

    /** Releases the memory of the open page. */
    void close() {
        openPage.release();
    }
}
