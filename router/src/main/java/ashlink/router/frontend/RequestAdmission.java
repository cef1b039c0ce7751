package ashlink.router.frontend;

import ashlink.config.RouterConfig;
import ashlink.config.RouterConfig.UserSpec;
import ashlink.decisions.api.QueryClass;
import ashlink.router.core.CoreRequest;
import ashlink.router.core.StatementOutcome;
import ashlink.sql.Kind;
import ashlink.sql.StatementAnalysis;
import ashlink.wire.QueryPacket;
import ashlink.wire.Setting;
import java.util.HashMap;
import java.util.Map;

/** Turns a statement into a request of the core: the same for every front. */
public final class RequestAdmission {

    private RequestAdmission() {}

    /**
     * Reads and classifies a statement, and puts it to the core; its answer goes to the channel,
     * maybe before this returns.
     */
    public static RequestExchange begin(
            ListenerContext context,
            ResponseChannel client,
            int revision,
            String userName,
            String database,
            QueryPacket query,
            byte[] tables) {
        Prepared prepared = prepare(context, client, revision, userName, database, query, tables);
        prepared.submit();
        return prepared.exchange;
    }

    /** A statement that was read and classified, and not yet put to the core. */
    public static final class Prepared {
        private final ListenerContext context;
        private final RequestExchange exchange;
        private final CoreRequest request;

        private Prepared(ListenerContext context, RequestExchange exchange, CoreRequest request) {
            this.context = context;
            this.exchange = exchange;
            this.request = request;
        }

        /** The statement. */
        public RequestExchange exchange() {
            return exchange;
        }

        /** Time from now until its client gives up, by its class and its own limit. */
        public long allowedNs() {
            return request.timeLimitNs();
        }

        /** Answers it here: it is not put to the core. */
        public void refuse(String why, long retryAfterNs) {
            exchange.finish(
                    ResponseWriter.refused(retryAfterNs, why),
                    StatementOutcome.TURNED_AWAY,
                    retryAfterNs);
        }

        /** Puts it to the core. */
        public void submit() {
            if (request.timeLimitNs() <= 0) {
                exchange.finish(
                        ResponseWriter.refused(0, "its time was up when it came"),
                        StatementOutcome.REFUSED);
                return;
            }
            long id = context.core().submit(request, exchange);
            if (id < 0) {
                long retryAfterNs = context.config().allowed().maxRetryAfterNs();
                exchange.finish(
                        ResponseWriter.refused(retryAfterNs, "the router is full or stops"),
                        StatementOutcome.TURNED_AWAY,
                        retryAfterNs);
            } else {
                exchange.id(id);
            }
        }
    }

    /** Reads and classifies a statement. */
    public static Prepared prepare(
            ListenerContext context,
            ResponseChannel client,
            int revision,
            String userName,
            String database,
            QueryPacket query,
            byte[] tables) {
        RouterConfig config = context.config();
        Map<String, String> settings = new HashMap<>();
        for (Setting setting : query.settings()) {
            settings.put(setting.name(), setting.value());
        }
        StatementAnalysis reading = context.statements().read(query.statement(), database);
        if (reading.kind() == Kind.UNKNOWN) {
            context.unknowns().tell(reading, userName);
        }
        QueryClass queryClass =
                context.classifier()
                        .get()
                        .decide(userName, database, reading, settings)
                        .queryClass();
        UserSpec user = config.users().get(userName);
        CoreRequest request =
                RequestHints.request(
                        queryClass,
                        reading,
                        settings,
                        user == null ? "" : user.tenant(),
                        config.bounds().answerMarginNs());
        return new Prepared(
                context,
                new RequestExchange(
                        context, client, revision, database, query, tables, queryClass, reading),
                request);
    }
}
