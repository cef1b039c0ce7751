package review;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.ThreadLocalRandom;

/** A sound client: one connection that carries requests, each on a new stream. One thread reads for all clients. */
final class Client implements Closeable {

    /** What became of a request: the code of its answer, or -1 where the connection ended without one. */
    record Answer(int code, long atMs, String text) {
        boolean isWhole() {
            return code >= 0;
        }
    }

    /** A request that was written. */
    static final class Request {
        final String id;
        final String queryClass;
        final long stream;
        final long waitMs;
        volatile long writtenMs;
        final CompletableFuture<Answer> answer = new CompletableFuture<>();

        Request(String id, String queryClass, long stream, long waitMs) {
            this.id = id;
            this.queryClass = queryClass;
            this.stream = stream;
            this.waitMs = waitMs;
        }
    }

    static final int SERVED = 0;
    static final int REFUSED = 11;
    static final int FAILED = 5;

    final String name;
    private final Record record;
    private final SocketChannel channel;
    private ByteBuffer received = ByteBuffer.allocate(1 << 10);
    private final Map<Long, Request> open = new ConcurrentHashMap<>();
    final AtomicLong lastStream = new AtomicLong();
    private final Map<Long, CompletableFuture<Integer>> readiness = new ConcurrentHashMap<>();
    volatile String ended;
    volatile boolean goneAway;

    private static final Selector SELECTOR = openSelector();
    private static final Queue<Client> NEW = new ConcurrentLinkedQueue<>();

    Client(String name, int port, Record record) throws IOException {
        this.name = name;
        this.record = record;
        channel = SocketChannel.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.configureBlocking(false);
        NEW.add(this);
        SELECTOR.wakeup();
    }

    private static Selector openSelector() {
        try {
            Selector selector = Selector.open();
            Daemons.start(() -> readAll(selector));
            return selector;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void readAll(Selector selector) {
        while (true) {
            try {
                selector.select(1000);
                for (Client client = NEW.poll(); client != null; client = NEW.poll()) {
                    try {
                        client.channel.register(selector, SelectionKey.OP_READ, client);
                    } catch (IOException e) {
                        client.end(e.toString());
                    }
                }
                for (SelectionKey key : selector.selectedKeys()) {
                    ((Client) key.attachment()).readable(key);
                }
                selector.selectedKeys().clear();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private void write(byte[] bytes, int from, int count) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes, from, count);
        synchronized (channel) {
            while (buffer.hasRemaining()) {
                if (channel.write(buffer) == 0) {
                    Daemons.pause(1);
                }
            }
        }
    }

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    /** Returns the frame of a request. */
    static byte[] requestFrame(long stream, Map<String, String> fields, byte[] body) {
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        payload.write(fields.size());
        fields.forEach(
                (name, value) -> {
                    byte[] n = name.getBytes(StandardCharsets.UTF_8);
                    byte[] v = value.getBytes(StandardCharsets.UTF_8);
                    payload.write(n.length);
                    payload.writeBytes(n);
                    payload.write(v.length >> 8);
                    payload.write(v.length);
                    payload.writeBytes(v);
                });
        payload.writeBytes(body);
        return frame(10, stream, payload.toByteArray());
    }

    static byte[] frame(int type, long stream, byte[] payload) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(bytes);
        try {
            data.writeInt(5 + payload.length);
            data.writeByte(type);
            data.writeInt((int) stream);
            data.write(payload);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return bytes.toByteArray();
    }

    /** Writes a request; its answer comes in the returned object. */
    Request send(String queryClass, long waitMs, String key, String statement) throws IOException {
        Request request = new Request(newId(), queryClass, lastStream.incrementAndGet(), waitMs);
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("class", queryClass);
        fields.put("id", request.id);
        fields.put("wait", Long.toString(waitMs));
        fields.put("cost", "100.0");
        fields.put("heap_mb", "16");
        if (key != null) {
            fields.put("key", key);
        }
        byte[] bytes = requestFrame(request.stream, fields, statement.getBytes(StandardCharsets.UTF_8));
        open.put(request.stream, request);
        record.log("client " + name + " sends " + request.id + " " + queryClass + " wait=" + waitMs + " stream="
                + request.stream + " " + bytes.length + " bytes");
        write(bytes, 0, bytes.length);
        request.writtenMs = Record.nowMs();
        return request;
    }

    /** Asks whether the router is ready, on a stream of its own. */
    CompletableFuture<Integer> askReady() throws IOException {
        long stream = lastStream.incrementAndGet();
        CompletableFuture<Integer> code = new CompletableFuture<>();
        readiness.put(stream, code);
        byte[] bytes = frame(20, stream, new byte[] {0});
        write(bytes, 0, bytes.length);
        return code;
    }

    int openRequests() {
        return open.size();
    }

    private void readable(SelectionKey key) {
        try {
            int count = channel.read(received);
            if (count < 0) {
                key.cancel();
                channel.close();
                end("end of stream");
                return;
            }
            received.flip();
            while (received.remaining() >= 9 && received.remaining() >= 4 + received.getInt(received.position())) {
                int length = received.getInt();
                int type = received.get() & 0xff;
                long stream = received.getInt() & 0xffffffffL;
                byte[] payload = new byte[length - 5];
                received.get(payload);
                handle(type, stream, payload);
            }
            received.compact();
            if (!received.hasRemaining()) {
                received = ByteBuffer.allocate(2 * received.capacity()).put(received.flip());
            }
        } catch (IOException e) {
            key.cancel();
            end(e.toString());
        }
    }

    private void end(String reason) {
        ended = reason;
        if (!open.isEmpty()) {
            record.log("client " + name + " connection ended (" + reason + ") with " + open.size()
                    + " requests without an answer");
        }
        open.values().forEach(request -> {
            record.log("client " + name + " NO ANSWER to " + request.id + " " + request.queryClass);
            request.answer.complete(new Answer(-1, Record.nowMs(), "connection ended: " + reason));
        });
        readiness.values().forEach(code -> code.complete(-1));
    }

    private void handle(int type, long stream, byte[] payload) {
        if (type == 11 && stream == 0) {
            record.say("client " + name + " error on stream 0: code " + payload[0] + " \"" + text(payload) + "\"");
        } else if (type == 11) {
            Request request = open.remove(stream);
            if (request == null) {
                record.say("client " + name + " a second or foreign answer on stream " + stream);
                return;
            }
            record.log("client " + name + " answer " + request.id + " code " + payload[0]);
            request.answer.complete(new Answer(payload[0], Record.nowMs(), text(payload)));
        } else if (type == 21) {
            CompletableFuture<Integer> code = readiness.remove(stream);
            if (code != null) {
                code.complete((int) payload[0]);
            }
        } else if (type == 30) {
            goneAway = true;
            record.log("client " + name + " is told to send nothing new");
        }
    }

    private static String text(byte[] payload) {
        int at = 2;
        for (int i = 0; i < payload[1]; i++) {
            at += 1 + (payload[at] & 0xff);
            at += 2 + ((payload[at] & 0xff) << 8 | payload[at + 1] & 0xff);
        }
        return new String(payload, at, payload.length - at, StandardCharsets.UTF_8).trim();
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
