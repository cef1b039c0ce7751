package ashlink.router.http;

import ashlink.router.frontend.InsertFeed;
import ashlink.router.frontend.ListenerContext;
import ashlink.router.frontend.RequestAdmission;
import ashlink.router.frontend.RequestExchange;
import ashlink.wire.Block;
import ashlink.wire.ByteBuf;
import ashlink.wire.ClientInfo;
import ashlink.wire.ClientPacket;
import ashlink.wire.QueryPacket;
import ashlink.wire.Revision;
import ashlink.wire.WireException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.RejectedExecutionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Creates requests from submitted statements and sends the data of inserts. */
final class StatementRequestFactory {

    private static final Logger LOG = LoggerFactory.getLogger(StatementRequestFactory.class);
    private static final String CLIENT_NAME = "ashlink http";
    private static final int CLIENT_MAJOR = 1;

    /** The Data packet that ends the external tables of a query and the data of an insert. */
    private static final byte[] END_OF_DATA = endOfData();

    private final ListenerContext context;

    StatementRequestFactory(ListenerContext context) {
        this.context = context;
    }

    private static byte[] endOfData() {
        ByteBuf packet = new ByteBuf();
        try {
            packet.putVarUInt(ClientPacket.DATA.ordinal()).putString("");
            Block.END.write(null, packet);
        } catch (WireException e) {
            throw new IllegalStateException("empty block exceeds the buffer limit", e);
        }
        return Arrays.copyOf(packet.array(), packet.size());
    }

    /** Prepares the request of a statement; the response is written to the statement. */
    RequestAdmission.Prepared prepare(StatementSubmission submission, HttpStatement statement) {
        RequestAdmission.Prepared prepared =
                RequestAdmission.prepare(
                        context,
                        statement,
                        Revision.HIGHEST,
                        statement.user(),
                        submission.database(),
                        queryPacket(submission, statement),
                        END_OF_DATA);
        RequestExchange exchange = prepared.exchange();
        statement.setRequestExchange(exchange);
        if (exchange.feed() != null) {
            statement.setHeaderListener(
                    header -> feedOnWorker(exchange, header, submission.rows()));
        }
        return prepared;
    }

    private static QueryPacket queryPacket(
            StatementSubmission submission, HttpStatement statement) {
        ClientInfo client =
                new ClientInfo(
                        statement.user(),
                        "",
                        statement.peer(),
                        "",
                        "",
                        CLIENT_NAME,
                        CLIENT_MAJOR,
                        0,
                        Revision.HIGHEST,
                        0,
                        "");
        return new QueryPacket(
                "",
                client,
                submission.settingList(),
                QueryPacket.COMPLETE,
                false,
                submission.statement());
    }

    /** Feeds on a worker thread, as the thread that received the header has to send the data. */
    private void feedOnWorker(RequestExchange exchange, byte[] header, JsonNode rows) {
        try {
            context.workers().execute(() -> feed(exchange, header, rows));
        } catch (RejectedExecutionException e) {
            LOG.debug("insert data not sent, router shutting down");
        }
    }

    private void feed(RequestExchange exchange, byte[] header, JsonNode rows) {
        InsertFeed feed = exchange.feed();
        try {
            if (rows != null && rows.size() > 0) {
                feed.put(RowsEncoder.encode(header, rows, context.limits()), false);
            }
            feed.put(END_OF_DATA, true);
        } catch (WireException e) {
            exchange.rejectInput(e);
        } catch (IOException e) {
            exchange.rejectInput(
                    new WireException(
                            WireException.Reason.MALFORMED, String.valueOf(e.getMessage())));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
