package ashlink.router.frontend;

import ashlink.router.core.StatementOutcome;
import ashlink.wire.ByteBuf;
import java.io.IOException;

/**
 * Sends responses to a client as packets of the native protocol. Writers synchronize on the
 * channel, so that packets of different responses are not interleaved.
 */
public interface ResponseChannel {

    /** Writes complete packets of a response; may block until the client reads. */
    void write(ByteBuf packets) throws IOException;

    /**
     * Writes the last packets of the response to a statement; may block until the client reads.
     *
     * @param retryAfterNs time after which the client may retry; 0 for none
     */
    void end(ByteBuf packets, StatementOutcome outcome, long retryAfterNs) throws IOException;

    /** Returns the address of the client, used in logs and sent to engines. */
    String peer();

    /** Closes the channel and wakes blocked writers; may be called on any thread. */
    void close();
}
