package ashlink.router.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Checks that the OpenAPI description lists exactly the routes, statuses and problem types. */
class OpenApiDescriptionTest {

    private static JsonNode description() throws IOException {
        try (InputStream in = Route.class.getResourceAsStream("openapi.json")) {
            return new ObjectMapper().readTree(in);
        }
    }

    /** Returns the responses of each described operation, by method and path. */
    private static Map<String, JsonNode> operations(JsonNode description) {
        Map<String, JsonNode> operations = new TreeMap<>();
        for (Map.Entry<String, JsonNode> path : description.get("paths").properties()) {
            for (Map.Entry<String, JsonNode> method : path.getValue().properties()) {
                if (method.getValue().has("responses")) {
                    operations.put(
                            method.getKey().toUpperCase(Locale.ROOT) + " " + path.getKey(),
                            method.getValue().get("responses"));
                }
            }
        }
        return operations;
    }

    @Test
    void describesAllRoutes() throws Exception {
        Set<String> routes = new TreeSet<>();
        for (Route route : Route.values()) {
            routes.add(route.method() + " " + route.path());
        }
        assertEquals(routes, operations(description()).keySet());
    }

    @Test
    void describesAllStatuses() throws Exception {
        Set<String> described = new TreeSet<>();
        operations(description())
                .values()
                .forEach(responses -> responses.fieldNames().forEachRemaining(described::add));
        Set<String> statuses = new TreeSet<>(Set.of("200", "202", "307"));
        for (ProblemDetail.Kind kind : ProblemDetail.Kind.values()) {
            // A request with an unsupported method belongs to no operation of the description.
            if (kind != ProblemDetail.Kind.METHOD) {
                statuses.add(Integer.toString(kind.status()));
            }
        }
        assertEquals(statuses, described);
    }

    @Test
    void describesAllProblems() throws Exception {
        Set<String> problems = new TreeSet<>();
        for (ProblemDetail.Kind kind : ProblemDetail.Kind.values()) {
            problems.add("/problems/" + kind.typeName());
        }
        Set<String> described = new TreeSet<>();
        description()
                .at("/components/schemas/Problem/properties/type/enum")
                .forEach(type -> described.add(type.asText()));
        assertEquals(problems, described);
    }
}
