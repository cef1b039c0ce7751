package ashlink.router.frontend;

import ashlink.router.core.StatementOutcome;
import ashlink.wire.ByteBuf;
import java.io.IOException;

/**
 * The way of answers to a client, in packets of the native protocol. Who holds its lock writes
 * whole packets.
 */
public interface ResponseChannel {

    /** Takes whole packets of an answer; may wait for the client. */
    void write(ByteBuf packets) throws IOException;

    /**
     * Takes the last packets of a statement's answer, and how it ended; may wait for the client.
     */
    void end(ByteBuf packets, StatementOutcome how, long retryAfterNs) throws IOException;

    /** Who the client is, for logs and for engines. */
    String peer();

    /** Lets nothing more pass, and wakes who waits in it; safe from any thread. */
    void close();
}
