package ashlink.control.tool;

import ashlink.control.channel.ControlClient;
import ashlink.control.member.ControlCodec;
import ashlink.control.tls.Identity;
import ashlink.fleet.command.Intent;
import ashlink.fleet.command.OperatorCommand;
import ashlink.fleet.command.ReplicatedCommandSet.CommandWithTtl;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** Sends control requests to many routers in parallel and collects a result per router. */
public final class FleetClient implements AutoCloseable {

    private static final long POLL_INTERVAL_MS = 50;

    /**
     * The result of a request to one router.
     *
     * @param answer the response, or null if the request failed
     * @param error why the request failed; empty if it succeeded
     * @param atMs time of the result, in milliseconds since 1970
     */
    public record Result(String router, JsonNode answer, String error, long atMs) {

        /** Returns whether the router responded. */
        public boolean isReached() {
            return answer != null;
        }
    }

    private final Identity identity;
    private final Map<String, InetSocketAddress> routers;
    private final int timeoutMs;
    private final ExecutorService pool;

    /**
     * Creates a client of the given routers.
     *
     * @param routers addresses of the routers by name
     * @param maxParallelRequests maximum number of parallel requests
     * @param timeoutMs timeout of a connection attempt and of each read
     */
    public FleetClient(
            Identity identity,
            Map<String, InetSocketAddress> routers,
            int maxParallelRequests,
            int timeoutMs) {
        this.identity = identity;
        this.routers = new LinkedHashMap<>(routers);
        this.timeoutMs = timeoutMs;
        this.pool =
                Executors.newFixedThreadPool(
                        Math.max(1, Math.min(maxParallelRequests, routers.size())),
                        task -> {
                            Thread thread = new Thread(task, "fleet-tool");
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    /** Sends a frame to all routers and returns the results by router. */
    public Map<String, Result> request(JsonNode frame) throws InterruptedException {
        Map<String, Future<Result>> pending = new LinkedHashMap<>();
        routers.forEach(
                (name, address) ->
                        pending.put(name, pool.submit(() -> request(name, address, frame))));
        Map<String, Result> results = new LinkedHashMap<>();
        for (Map.Entry<String, Future<Result>> entry : pending.entrySet()) {
            try {
                results.put(entry.getKey(), entry.getValue().get());
            } catch (ExecutionException e) {
                results.put(
                        entry.getKey(),
                        new Result(
                                entry.getKey(),
                                null,
                                String.valueOf(e.getCause()),
                                System.currentTimeMillis()));
            }
        }
        return results;
    }

    private Result request(String name, InetSocketAddress address, JsonNode frame) {
        try (ControlClient client = new ControlClient(identity, address, name, timeoutMs)) {
            return new Result(name, client.request(frame), "", System.currentTimeMillis());
        } catch (IOException e) {
            return new Result(
                    name, null, String.valueOf(e.getMessage()), System.currentTimeMillis());
        }
    }

    /** Requests the status of all routers. */
    public Map<String, Result> status() throws InterruptedException {
        return request(ControlCodec.op("status"));
    }

    /**
     * Returns a new command whose revision is higher than that of every command for the same
     * subject and owner known to the routers that responded.
     *
     * @param statuses results of {@link #status} by router
     */
    public OperatorCommand nextCommand(
            String subject,
            String owner,
            Intent intent,
            String reason,
            Map<String, Result> statuses)
            throws IOException {
        long revision = 0;
        for (Result result : statuses.values()) {
            if (result.isReached()) {
                for (CommandWithTtl entry : ControlCodec.commands(result.answer())) {
                    if (entry.command().subject().equals(subject)
                            && entry.command().owner().equals(owner)) {
                        revision = Math.max(revision, entry.command().revision());
                    }
                }
            }
        }
        return new OperatorCommand(subject, owner, revision + 1, intent, identity.name(), reason);
    }

    /** Returns the owners that have an intent in force for a subject on a router that responded. */
    public static List<String> activeOwners(String subject, Map<String, Result> statuses)
            throws IOException {
        List<String> owners = new ArrayList<>();
        for (Result result : statuses.values()) {
            if (result.isReached()) {
                for (CommandWithTtl entry : ControlCodec.commands(result.answer())) {
                    if (entry.command().subject().equals(subject)
                            && entry.ttlMs() > 0
                            && entry.command().intent() != Intent.NONE
                            && !owners.contains(entry.command().owner())) {
                        owners.add(entry.command().owner());
                    }
                }
            }
        }
        return owners;
    }

    /** Submits a command to all routers. */
    public Map<String, Result> submit(OperatorCommand command, long ttlMs)
            throws InterruptedException {
        return request(ControlCodec.commands("put", List.of(new CommandWithTtl(command, ttlMs))));
    }

    /** Returns whether a router has a command, or a newer one for the same subject and owner. */
    public static boolean hasCommand(Result result, OperatorCommand command) {
        try {
            return result.isReached()
                    && ControlCodec.commands(result.answer()).stream()
                            .anyMatch(
                                    entry ->
                                            entry.command().subject().equals(command.subject())
                                                    && entry.command()
                                                            .owner()
                                                            .equals(command.owner())
                                                    && entry.command().compareTo(command) >= 0);
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Polls the status until the given fraction of all routers satisfies a condition or the timeout
     * expires; returns the last status.
     */
    public Map<String, Result> awaitStatus(
            double fraction, long timeoutNs, Predicate<Result> condition)
            throws InterruptedException {
        long deadlineNs = System.nanoTime() + timeoutNs;
        while (true) {
            Map<String, Result> statuses = status();
            long satisfied = statuses.values().stream().filter(condition).count();
            if (satisfied >= Math.ceil(fraction * routers.size())
                    || System.nanoTime() > deadlineNs) {
                return statuses;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
    }

    @Override
    public void close() {
        pool.shutdownNow();
    }
}
