package ashlink.router.http;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The routes of the API; the OpenAPI description lists the same routes. */
enum Route {
    POST_STATEMENT("POST", "/v1/statements"),
    GET_STATEMENT("GET", "/v1/statements/{id}"),
    DELETE_STATEMENT("DELETE", "/v1/statements/{id}"),
    GET_PAGE("GET", "/v1/statements/{id}/pages/{page}"),
    GET_DESCRIPTION("GET", "/v1/openapi.json");

    private final String method;
    private final String path;
    private final Pattern pattern;

    Route(String method, String path) {
        this.method = method;
        this.path = path;
        this.pattern =
                Pattern.compile(
                        path.replace("{id}", "([A-Za-z0-9._~-]{1,200})")
                                .replace("{page}", "([0-9]{1,9})"));
    }

    String method() {
        return method;
    }

    String path() {
        return path;
    }

    /** Returns the match of a path, whatever the method, or null. */
    Matcher match(String requested) {
        Matcher matcher = pattern.matcher(requested);
        return matcher.matches() ? matcher : null;
    }

    /** Returns the path of a statement. */
    static String statement(String id) {
        return "/v1/statements/" + id;
    }

    /** Returns the path of a page. */
    static String page(String id, int page) {
        return statement(id) + "/pages/" + page;
    }
}
