package ashlink.capture.events;

import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.Event;
import ashlink.decisions.api.Event.AttemptEnded;
import ashlink.decisions.api.Event.AttemptProgress;
import ashlink.decisions.api.Event.ClientDisconnected;
import ashlink.decisions.api.Event.EndpointsChanged;
import ashlink.decisions.api.Event.HealthCheckCompleted;
import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.Event.TimerFired;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.ProgressKind;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

/** Encodes and decodes events: a tag, followed by the fields in a fixed order. */
final class EventCodec {

    private static final int QUERY_SUBMITTED = 1;
    private static final int ATTEMPT_ENDED = 2;
    private static final int TIMER_FIRED = 3;
    private static final int HEALTH_CHECK_COMPLETED = 4;
    private static final int ENDPOINTS_CHANGED = 5;
    private static final int CLIENT_DISCONNECTED = 6;
    private static final int ATTEMPT_PROGRESS = 7;

    private EventCodec() {}

    /**
     * Writes an event.
     *
     * @param maskKey masks the ordering key of a query
     */
    static void write(Event event, FrameEncoder out, UnaryOperator<String> maskKey) {
        if (event instanceof QuerySubmitted submitted) {
            out.writeByte(QUERY_SUBMITTED);
            writeQuerySubmitted(submitted, out, maskKey);
        } else if (event instanceof AttemptEnded ended) {
            out.writeByte(ATTEMPT_ENDED);
            writeAttemptEnded(ended, out);
        } else if (event instanceof TimerFired fired) {
            out.writeByte(TIMER_FIRED);
            out.writeSigned(fired.label());
        } else if (event instanceof HealthCheckCompleted completed) {
            out.writeByte(HEALTH_CHECK_COMPLETED);
            out.writeText(completed.engine());
            out.writeEnum(completed.outcome());
            out.writeSigned(completed.durationNs());
            writeLoadReport(completed.loadReport(), out);
        } else if (event instanceof EndpointsChanged changed) {
            out.writeByte(ENDPOINTS_CHANGED);
            writeEndpointsChanged(changed, out);
        } else if (event instanceof ClientDisconnected disconnected) {
            out.writeByte(CLIENT_DISCONNECTED);
            out.writeQueryId(disconnected.id());
        } else if (event instanceof AttemptProgress progress) {
            out.writeByte(ATTEMPT_PROGRESS);
            writeAttemptProgress(progress, out);
        }
    }

    /** Reads an event; times are relative to the time of the current step of {@code in}. */
    static Event read(FrameDecoder in) throws IOException {
        int tag = in.readByte();
        return switch (tag) {
            case QUERY_SUBMITTED -> readQuerySubmitted(in);
            case ATTEMPT_ENDED -> readAttemptEnded(in);
            case TIMER_FIRED -> new TimerFired(in.readSigned());
            case HEALTH_CHECK_COMPLETED ->
                    new HealthCheckCompleted(
                            in.readText(),
                            in.readEnum(Outcome.values()),
                            in.readSigned(),
                            readLoadReport(in));
            case ENDPOINTS_CHANGED -> readEndpointsChanged(in);
            case CLIENT_DISCONNECTED -> new ClientDisconnected(in.readQueryId());
            case ATTEMPT_PROGRESS -> readAttemptProgress(in);
            default ->
                    throw new IOException(
                            "unknown event tag %d: expected %d to %d"
                                    .formatted(tag, QUERY_SUBMITTED, ATTEMPT_PROGRESS));
        };
    }

    private static void writeQuerySubmitted(
            QuerySubmitted event, FrameEncoder out, UnaryOperator<String> maskKey) {
        out.writeQueryId(event.id());
        out.writeText(event.queryClass());
        out.writeText(event.key() == null ? null : maskKey.apply(event.key()));
        out.writeSigned(event.tableGroup());
        out.writeTime(event.deadlineNs());
        out.writeSigned(event.estimatedWorkNs());
        out.writeDouble(event.estimatedMemoryMb());
        out.writeText(event.tenant());
    }

    private static QuerySubmitted readQuerySubmitted(FrameDecoder in) throws IOException {
        return new QuerySubmitted(
                in.readQueryId(),
                in.readText(),
                in.readText(),
                in.readSigned(),
                in.readTime(),
                in.readSigned(),
                in.readDouble(),
                in.readText());
    }

    private static void writeAttemptEnded(AttemptEnded event, FrameEncoder out) {
        out.writeQueryId(event.id());
        out.writeUnsigned(event.attempt());
        out.writeText(event.engine());
        out.writeEnum(event.outcome());
        out.writeSigned(event.durationNs());
        out.writeFlag(event.clientAnswered());
        out.writeDouble(event.workMs());
        out.writeDouble(event.memoryMb());
        writeLoadReport(event.loadReport(), out);
    }

    private static AttemptEnded readAttemptEnded(FrameDecoder in) throws IOException {
        return new AttemptEnded(
                in.readQueryId(),
                in.readCount(StoredLimits.MAX_COUNT),
                in.readText(),
                in.readEnum(Outcome.values()),
                in.readSigned(),
                in.readFlag(),
                in.readDouble(),
                in.readDouble(),
                readLoadReport(in));
    }

    private static void writeAttemptProgress(AttemptProgress event, FrameEncoder out) {
        out.writeQueryId(event.id());
        out.writeUnsigned(event.attempt());
        out.writeText(event.engine());
        out.writeEnum(event.kind());
        out.writeDouble(event.amount());
    }

    private static AttemptProgress readAttemptProgress(FrameDecoder in) throws IOException {
        return new AttemptProgress(
                in.readQueryId(),
                in.readCount(StoredLimits.MAX_COUNT),
                in.readText(),
                in.readEnum(ProgressKind.values()),
                in.readDouble());
    }

    private static void writeEndpointsChanged(EndpointsChanged event, FrameEncoder out) {
        out.writeEnum(event.kind());
        out.writeUnsigned(event.endpoints().size());
        for (Endpoint endpoint : event.endpoints()) {
            out.writeText(endpoint.engine());
            out.writeEnum(endpoint.state());
            out.writeText(endpoint.zone());
            out.writeText(endpoint.kind());
            out.writeSigned(endpoint.cell());
            out.writeSigned(endpoint.startedNs());
        }
    }

    private static EndpointsChanged readEndpointsChanged(FrameDecoder in) throws IOException {
        EndpointListKind kind = in.readEnum(EndpointListKind.values());
        int count = in.readCount(StoredLimits.MAX_COUNT);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            endpoints.add(
                    new Endpoint(
                            in.readText(),
                            in.readEnum(EndpointState.values()),
                            in.readText(),
                            in.readText(),
                            in.readSigned(),
                            in.readSigned()));
        }
        return new EndpointsChanged(kind, endpoints);
    }

    private static void writeLoadReport(LoadReport report, FrameEncoder out) {
        out.writeDouble(report.queued());
        out.writeDouble(report.cpuUtilization());
        out.writeDouble(report.memoryUtilization());
        out.writeDouble(report.diskUtilization());
        out.writeDouble(report.inFlight());
    }

    private static LoadReport readLoadReport(FrameDecoder in) throws IOException {
        return new LoadReport(
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble());
    }
}
