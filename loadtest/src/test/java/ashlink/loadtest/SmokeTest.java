package ashlink.loadtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.emulator.EmulatedEngine;
import ashlink.loadtest.client.NativeClient;
import ashlink.loadtest.client.Reply;
import ashlink.loadtest.fixture.EmulatedEngines;
import ashlink.loadtest.fixture.TestSettings;
import ashlink.router.Router;
import ashlink.wire.Block;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.Statement;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** A router with the engines of the demo serves the native client and the JDBC driver. */
class SmokeTest {

    private static final long NS_PER_SECOND = 1_000_000_000L;

    @Test
    void selectsAndInsertsAreForwarded() throws Exception {
        List<EmulatedEngine> engines = EmulatedEngines.demo();
        Router router = new Router(TestSettings.of("r1", "halle-1", 0, 1, 7, 0, engines, ""));
        router.start();
        try (NativeClient nativeClient = NativeClient.connect(router.address(), "portal")) {
            for (int i = 0; i < 5; i++) {
                Reply reply = nativeClient.query("a" + i, "SELECT 1", Map.of(), 5 * NS_PER_SECOND);
                assertEquals(Reply.Kind.SERVED, reply.kind(), reply.message());
                assertEquals(1, reply.rows());
            }
            Block rows =
                    Block.of(
                            new Block.Column("id", "UInt64", List.of(1L, 2L)),
                            new Block.Column("value", "String", List.of("x", "y")));
            Reply reply =
                    nativeClient.insert(
                            "b",
                            "INSERT INTO t VALUES",
                            Map.of(),
                            List.of(rows),
                            5 * NS_PER_SECOND);
            assertEquals(Reply.Kind.SERVED, reply.kind(), reply.message());
        } finally {
            router.stop();
            engines.forEach(EmulatedEngine::crash);
        }
    }

    @Test
    void jdbcDriverIsServed() throws Exception {
        List<EmulatedEngine> engines = EmulatedEngines.demo();
        Router router = new Router(TestSettings.of("r1", "halle-1", 0, 1, 7, 0, engines, ""));
        router.start();
        Class.forName("com.github.housepower.jdbc.ClickHouseDriver");
        String url =
                "jdbc:clickhouse://127.0.0.1:"
                        + router.address().getPort()
                        + "/default?user=portal";
        try (Connection connection = DriverManager.getConnection(url);
                Statement statement = connection.createStatement()) {
            for (int i = 0; i < 3; i++) {
                try (ResultSet resultSet = statement.executeQuery("SELECT 1")) {
                    assertTrue(resultSet.next());
                    assertEquals(1, resultSet.getInt(1));
                }
            }
            try (PreparedStatement preparedStatement =
                    connection.prepareStatement("INSERT INTO t (id, value) VALUES (?, ?)")) {
                preparedStatement.setLong(1, 5);
                preparedStatement.setString(2, "five");
                preparedStatement.addBatch();
                assertEquals(1, preparedStatement.executeBatch().length);
            }
        } finally {
            router.stop();
            engines.forEach(EmulatedEngine::crash);
        }
    }
}
