package ashlink.loadtest;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;

/** A client of the statement API for tests. */
final class HttpPeer {

    private static final Described DESCRIBED = new Described();

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(10))
                    .build();
    private final InetSocketAddress address;

    HttpPeer(InetSocketAddress address) {
        this.address = address;
    }

    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path))
                .timeout(Duration.ofSeconds(60));
    }

    /** Sends it, and holds the answer against the description. */
    HttpResponse<String> send(HttpRequest.Builder builder)
            throws IOException, InterruptedException {
        HttpResponse<String> answer = client.send(builder.build(), BodyHandlers.ofString());
        DESCRIBED.check(answer);
        return answer;
    }

    HttpClient client() {
        return client;
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
