package ashlink.router.frontend;

import ashlink.config.RouterConfig;
import ashlink.config.RouterConfig.UserSpec;
import ashlink.decisions.api.QueryClass;
import ashlink.router.core.CoreRequest;
import ashlink.router.core.StatementOutcome;
import ashlink.sql.StatementAnalysis;
import ashlink.sql.StatementKind;
import ashlink.wire.QueryPacket;
import ashlink.wire.Setting;
import java.util.HashMap;
import java.util.Map;

/** Creates requests of the core from statements; used by all listeners. */
public final class RequestAdmission {

    private RequestAdmission() {}

    /**
     * Analyzes and classifies a statement, and submits it to the core. The channel may receive the
     * response before this method returns.
     */
    public static RequestExchange begin(
            ListenerContext context,
            ResponseChannel client,
            int revision,
            String userName,
            String database,
            QueryPacket query,
            byte[] externalTables) {
        Prepared prepared =
                prepare(context, client, revision, userName, database, query, externalTables);
        prepared.submit();
        return prepared.exchange;
    }

    /** A statement that is analyzed and classified but not yet submitted to the core. */
    public static final class Prepared {
        private final ListenerContext context;
        private final RequestExchange exchange;
        private final CoreRequest request;

        private Prepared(ListenerContext context, RequestExchange exchange, CoreRequest request) {
            this.context = context;
            this.exchange = exchange;
            this.request = request;
        }

        /** Returns the exchange of the statement. */
        public RequestExchange exchange() {
            return exchange;
        }

        /**
         * Returns the time until the deadline of the client, the shorter of the limits of its query
         * class and of its own settings.
         */
        public long timeLimitNs() {
            return request.timeLimitNs();
        }

        /** Rejects the statement without submitting it. */
        public void reject(String reason, long retryAfterNs) {
            exchange.finish(
                    ClientErrors.rejected(retryAfterNs, reason),
                    StatementOutcome.NOT_ADMITTED,
                    retryAfterNs);
        }

        /** Submits the statement to the core. */
        public void submit() {
            if (request.timeLimitNs() <= 0) {
                exchange.finish(
                        ClientErrors.rejected(0, "the time limit had expired on arrival"),
                        StatementOutcome.REJECTED);
                return;
            }
            long id = context.core().submit(request, exchange);
            if (id < 0) {
                long retryAfterNs = context.config().capabilities().maxRetryAfterNs();
                exchange.finish(
                        ClientErrors.rejected(
                                retryAfterNs, "the router is overloaded or shutting down"),
                        StatementOutcome.NOT_ADMITTED,
                        retryAfterNs);
            } else {
                exchange.setId(id);
            }
        }
    }

    /** Analyzes and classifies a statement. */
    public static Prepared prepare(
            ListenerContext context,
            ResponseChannel client,
            int revision,
            String userName,
            String database,
            QueryPacket query,
            byte[] externalTables) {
        RouterConfig config = context.config();
        Map<String, String> settings = new HashMap<>();
        for (Setting setting : query.settings()) {
            settings.put(setting.name(), setting.value());
        }
        StatementAnalysis analysis =
                context.statementAnalyzer().analyze(query.statement(), database);
        if (analysis.kind() == StatementKind.UNKNOWN) {
            context.unsupportedStatements().log(analysis, userName);
        }
        QueryClass queryClass =
                context.classifier()
                        .get()
                        .classify(userName, database, analysis, settings)
                        .queryClass();
        UserSpec user = config.users().get(userName);
        CoreRequest request =
                RequestHints.request(
                        queryClass,
                        analysis,
                        settings,
                        user == null ? "" : user.tenant(),
                        config.resourceLimits().responseMarginNs());
        return new Prepared(
                context,
                new RequestExchange(
                        context,
                        client,
                        revision,
                        database,
                        query,
                        externalTables,
                        queryClass,
                        analysis),
                request);
    }
}
