package ashlink.router.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.InputStream;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** The description has the paths and the problems that the code has, no more and no fewer. */
class DescriptionTest {

    @Test
    void pathsAndProblemsAreDescribed() throws Exception {
        JsonNode d;
        try (InputStream in = Route.class.getResourceAsStream("openapi.json")) {
            d = new ObjectMapper().readTree(in);
        }
        Set<String> described = new TreeSet<>();
        Set<String> statuses = new TreeSet<>();
        d.get("paths")
                .properties()
                .forEach(
                        p ->
                                p.getValue()
                                        .properties()
                                        .forEach(
                                                m -> {
                                                    if (m.getValue().has("responses")) {
                                                        described.add(
                                                                m.getKey().toUpperCase(Locale.ROOT)
                                                                        + " "
                                                                        + p.getKey());
                                                        m.getValue()
                                                                .get("responses")
                                                                .fieldNames()
                                                                .forEachRemaining(statuses::add);
                                                    }
                                                }));
        Set<String> routes = new TreeSet<>();
        for (Route route : Route.values()) {
            routes.add(route.method() + " " + route.path());
        }
        assertEquals(routes, described);
        Set<String> problems = new TreeSet<>();
        Set<String> mine = new TreeSet<>(Set.of("200", "202", "307"));
        for (ProblemDetail.Kind kind : ProblemDetail.Kind.values()) {
            problems.add("/problems/" + kind.word());
            if (kind
                    != ProblemDetail.Kind
                            .METHOD) { // of paths with another method, which are not described
                mine.add(Integer.toString(kind.status()));
            }
        }
        Set<String> types = new TreeSet<>();
        d.at("/components/schemas/Problem/properties/type/enum")
                .forEach(t -> types.add(t.asText()));
        assertEquals(problems, types);
        assertEquals(mine, statuses);
    }
}
