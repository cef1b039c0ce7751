package ashlink.router.frontend;

import ashlink.router.core.Attempt;
import ashlink.wire.ByteBuf;
import ashlink.wire.ClientInfo;
import ashlink.wire.QueryPacket;
import ashlink.wire.Revision;
import ashlink.wire.Setting;
import ashlink.wire.WireException;
import java.util.ArrayList;
import java.util.List;

/** Encodes the query that an attempt sends to its engine. */
final class EngineQueryEncoder {

    /** Prefix of settings that are hints for the router; engines do not know them. */
    private static final String ROUTER_SETTING_PREFIX = "ashlink_";

    private static final String MEMORY_SETTING = "max_memory_usage";
    private static final String PRIORITY_SETTING = "priority";
    private static final int MB_TO_BYTES_SHIFT = 20;

    /**
     * Priority on the engine for the lowest priority of the decision module, 0. Smaller numbers
     * have priority on engines, larger numbers in the decision module.
     */
    private static final int LOWEST_ENGINE_PRIORITY = 4;

    private final ListenerContext context;
    private final RequestExchange exchange;
    private final Attempt attempt;

    EngineQueryEncoder(ListenerContext context, RequestExchange exchange, Attempt attempt) {
        this.context = context;
        this.exchange = exchange;
        this.attempt = attempt;
    }

    /** Returns the query with its external tables, encoded for a protocol revision. */
    ByteBuf encode(int revision) throws WireException {
        QueryPacket query = exchange.query();
        String attemptId = attemptId();
        ByteBuf out = new ByteBuf();
        new QueryPacket(
                        attemptId,
                        clientInfo(attemptId),
                        settings(),
                        query.stage(),
                        query.compressed(),
                        query.statement())
                .write(revision, out);
        byte[] externalTables = exchange.externalTables();
        return out.append(externalTables, 0, externalTables.length);
    }

    private String attemptId() {
        return context.config().name()
                + "-"
                + context.boot()
                + "-"
                + attempt.id()
                + "-"
                + attempt.attemptNumber();
    }

    private ClientInfo clientInfo(String attemptId) {
        ClientInfo client = exchange.query().client();
        String clientQueryId = exchange.query().id();
        return new ClientInfo(
                client.user(),
                clientQueryId.isEmpty() ? attemptId : clientQueryId,
                client.address(),
                client.osUser(),
                client.host(),
                client.name(),
                client.major(),
                client.minor(),
                Revision.HIGHEST,
                client.patch(),
                client.quotaKey());
    }

    private List<Setting> settings() {
        List<Setting> settings = new ArrayList<>();
        for (Setting setting : exchange.query().settings()) {
            if (!setting.name().startsWith(ROUTER_SETTING_PREFIX)) {
                settings.add(setting);
            }
        }
        if (attempt.memoryMb() > 0) {
            long bytes = attempt.memoryMb() << MB_TO_BYTES_SHIFT;
            settings.add(new Setting(MEMORY_SETTING, 0, Long.toString(bytes)));
        }
        if (attempt.priority() >= 0 && context.config().capabilities().priorities()) {
            int priority = LOWEST_ENGINE_PRIORITY - attempt.priority();
            settings.add(new Setting(PRIORITY_SETTING, 0, Integer.toString(priority)));
        }
        return settings;
    }
}
