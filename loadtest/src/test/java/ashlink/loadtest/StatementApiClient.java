package ashlink.loadtest;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;

/** A client of the HTTP statement API that checks each response against the OpenAPI description. */
final class StatementApiClient {

    private static final OpenApiDescription DESCRIPTION = new OpenApiDescription();

    private final HttpClient httpClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(10))
                    .build();
    private final InetSocketAddress address;

    StatementApiClient(InetSocketAddress address) {
        this.address = address;
    }

    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path))
                .timeout(Duration.ofSeconds(60));
    }

    /** Sends a request and checks the response against the OpenAPI description. */
    HttpResponse<String> send(HttpRequest.Builder builder)
            throws IOException, InterruptedException {
        HttpResponse<String> response = httpClient.send(builder.build(), BodyHandlers.ofString());
        DESCRIPTION.check(response);
        return response;
    }

    HttpClient httpClient() {
        return httpClient;
    }

    HttpResponse<String> post(String statement, String parameters, String... headers)
            throws IOException, InterruptedException {
        HttpRequest.Builder builder =
                request("/v1/statements" + parameters)
                        .POST(HttpRequest.BodyPublishers.ofString(statement));
        if (headers.length > 0) {
            builder.headers(headers);
        }
        return send(builder);
    }

    HttpResponse<String> get(String path, String... headers)
            throws IOException, InterruptedException {
        HttpRequest.Builder builder = request(path).GET();
        if (headers.length > 0) {
            builder.headers(headers);
        }
        return send(builder);
    }

    HttpResponse<String> delete(String path) throws IOException, InterruptedException {
        return send(request(path).DELETE());
    }
}
