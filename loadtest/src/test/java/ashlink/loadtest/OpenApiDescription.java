package ashlink.loadtest;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.util.Locale;
import java.util.Map;

/** Checks responses of the statement API against its OpenAPI description. */
final class OpenApiDescription {

    private static final ObjectMapper JSON = new ObjectMapper();
    private final JsonNode description;

    OpenApiDescription() {
        try (InputStream in =
                ashlink.router.Router.class.getResourceAsStream(
                        "/ashlink/router/http/openapi.json")) {
            description = JSON.readTree(in);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Checks that the status and the format of a response are described for its path and method.
     * Paths that are not described must return 404 or 400.
     */
    void check(HttpResponse<String> httpResponse) throws IOException {
        String path = httpResponse.request().uri().getPath();
        String method = httpResponse.request().method().toLowerCase(Locale.ROOT);
        String type = httpResponse.headers().firstValue("Content-Type").orElse("").split(";")[0];
        check(path, method, httpResponse.statusCode(), type, httpResponse.body());
    }

    /** Checks a response that was read without an HTTP client. */
    void check(String path, String method, int status, String type, String body)
            throws IOException {
        for (Map.Entry<String, JsonNode> entry : description.get("paths").properties()) {
            if (!path.matches(entry.getKey().replaceAll("\\{[a-z]+}", "[^/]+"))) {
                continue;
            }
            JsonNode operation = entry.getValue().get(method);
            if (operation == null) {
                assertTrue(
                        status == 405 || status == 404, method + " " + path + " is not described");
                return;
            }
            JsonNode response = operation.get("responses").get(Integer.toString(status));
            assertTrue(
                    response != null,
                    method + " " + path + " returned undescribed status " + status + ": " + body);
            assertTrue(
                    !response.has("content") || response.get("content").has(type),
                    "status " + status + " has undescribed content type " + type);
            checkFields(body, type, response);
            return;
        }
        assertTrue(
                status == 404 || status == 400, path + " is not described but returned " + status);
    }

    /**
     * Checks that all fields of a response are in its schema, and that the required fields are
     * present.
     */
    private void checkFields(String body, String type, JsonNode response) throws IOException {
        JsonNode reference = response.path("content").path(type).path("schema").path("$ref");
        if (reference.isMissingNode()) {
            return;
        }
        JsonNode schema = description.at(reference.asText().substring(1));
        JsonNode root = JSON.readTree(body);
        root.fieldNames()
                .forEachRemaining(
                        field ->
                                assertTrue(
                                        schema.get("properties").has(field),
                                        "field " + field + " is not described"));
        schema.get("required")
                .forEach(
                        field ->
                                assertTrue(
                                        root.has(field.asText()),
                                        "field " + field.asText() + " is missing"));
        for (String field : new String[] {"type", "state"}) {
            JsonNode allowedValues = schema.path("properties").path(field).path("enum");
            if (root.has(field) && allowedValues.isArray()) {
                boolean found = false;
                for (JsonNode allowedValue : allowedValues) {
                    found |= allowedValue.equals(root.get(field));
                }
                assertTrue(found, field + " " + root.get(field) + " is not described");
            }
        }
    }
}
