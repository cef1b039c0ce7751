package review;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A sound journal service: numbered events over server-sent events, resumed behind Last-Event-ID, a comment each
 * second. It takes a given time before it answers a call.
 */
final class Journal implements Closeable {

    private final Record record;
    private final ServerSocket server;
    private final List<String> events = new ArrayList<>(); // index 0 holds event 1
    private volatile long answerDelayMs;

    Journal(Record record, String firstEvent) throws IOException {
        this.record = record;
        events.add(firstEvent);
        server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
        Daemons.start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Sets how long a call waits for its answer. */
    void answerAfter(long ms) {
        answerDelayMs = ms;
    }

    /** Adds an event: from now on it is there for each router that asks. */
    synchronized long tell(String hosts) {
        int position = events.size() + 1;
        events.add(event(position, false, hosts));
        notifyAll();
        record.say("journal event " + position + " is there: " + hosts);
        return Record.nowMs();
    }

    static String event(int position, boolean whole, String hosts) {
        return "{\"pos\":" + position + ",\"hosts\":{\"seq\":" + position + ",\"whole\":" + whole + ",\"hosts\":["
                + hosts + "]}}";
    }

    static String host(Engine engine, String site, String kind, int block, String health) {
        return "{\"host\":\"" + engine.id + "\",\"dial\":\"" + engine.address() + "\",\"site\":\"" + site
                + "\",\"class\":\"" + kind + "\",\"block\":" + block + ",\"health\":\"" + health
                + "\",\"share\":1,\"born_ms\":0}";
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                Daemons.start(() -> serve(socket));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            int last = 0;
            String line = Engine.readLine(in);
            record.log("journal call: " + line);
            while (line != null && !line.isEmpty()) {
                if (line.toLowerCase().startsWith("last-event-id:")) {
                    last = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
                }
                line = Engine.readLine(in);
            }
            if (line == null) {
                return;
            }
            Daemons.pause(answerDelayMs);
            OutputStream out = socket.getOutputStream();
            write(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\r\n: hello\n\n");
            record.log("journal answers the call behind " + last);
            while (true) {
                StringBuilder text = new StringBuilder();
                synchronized (this) {
                    if (last >= events.size()) {
                        wait(1000);
                    }
                    while (last < events.size()) {
                        last++;
                        text.append("id: ").append(last).append("\ndata: ").append(events.get(last - 1)).append("\n\n");
                    }
                }
                write(out, text.length() == 0 ? ": tick\n\n" : text.toString());
                if (text.length() > 0) {
                    record.log("journal sent events up to " + last);
                }
            }
        } catch (IOException e) {
            record.log("journal call ended by the router: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
