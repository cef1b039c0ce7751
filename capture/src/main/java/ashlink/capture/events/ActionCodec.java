package ashlink.capture.events;

import ashlink.decisions.api.Action;
import ashlink.decisions.api.Action.CancelAttempt;
import ashlink.decisions.api.Action.CheckHealth;
import ashlink.decisions.api.Action.Fail;
import ashlink.decisions.api.Action.Log;
import ashlink.decisions.api.Action.Reject;
import ashlink.decisions.api.Action.SetAttemptResources;
import ashlink.decisions.api.Action.SetTimer;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.Action.WatchEndpoints;
import java.io.IOException;

/** Encodes and decodes actions: a tag, followed by the fields in a fixed order. */
final class ActionCodec {

    private static final int START_ATTEMPT = 1;
    private static final int SET_ATTEMPT_RESOURCES = 2;
    private static final int REJECT = 3;
    private static final int FAIL = 4;
    private static final int CANCEL_ATTEMPT = 5;
    private static final int CHECK_HEALTH = 6;
    private static final int SET_TIMER = 7;
    private static final int WATCH_ENDPOINTS = 8;
    private static final int LOG = 9;

    private ActionCodec() {}

    static void write(Action action, FrameEncoder out) {
        if (action instanceof StartAttempt start) {
            out.writeByte(START_ATTEMPT);
            out.writeQueryId(start.id());
            out.writeText(start.engine());
            out.writeSigned(start.timeoutNs());
        } else if (action instanceof SetAttemptResources resources) {
            out.writeByte(SET_ATTEMPT_RESOURCES);
            out.writeQueryId(resources.id());
            out.writeSigned(resources.priority());
            out.writeSigned(resources.memoryMb());
        } else if (action instanceof Reject reject) {
            out.writeByte(REJECT);
            out.writeQueryId(reject.id());
            out.writeSigned(reject.retryAfterNs());
        } else if (action instanceof Fail fail) {
            out.writeByte(FAIL);
            out.writeQueryId(fail.id());
        } else if (action instanceof CancelAttempt cancel) {
            out.writeByte(CANCEL_ATTEMPT);
            out.writeQueryId(cancel.id());
            out.writeUnsigned(cancel.attempt());
        } else {
            writeWithoutQuery(action, out);
        }
    }

    private static void writeWithoutQuery(Action action, FrameEncoder out) {
        if (action instanceof CheckHealth check) {
            out.writeByte(CHECK_HEALTH);
            out.writeText(check.engine());
        } else if (action instanceof SetTimer timer) {
            out.writeByte(SET_TIMER);
            out.writeSigned(timer.label());
            out.writeTime(timer.timeNs());
        } else if (action instanceof WatchEndpoints) {
            out.writeByte(WATCH_ENDPOINTS);
        } else if (action instanceof Log log) {
            out.writeByte(LOG);
            out.writeText(log.text());
        }
    }

    /** Reads an action that belongs to the current step. */
    static Action read(FrameDecoder in) throws IOException {
        int tag = in.readByte();
        return switch (tag) {
            case START_ATTEMPT ->
                    new StartAttempt(in.readQueryId(), in.readText(), in.readSigned());
            case SET_ATTEMPT_RESOURCES ->
                    new SetAttemptResources(
                            in.readQueryId(), (int) in.readSigned(), in.readSigned());
            case REJECT -> new Reject(in.readQueryId(), in.readSigned());
            case FAIL -> new Fail(in.readQueryId());
            case CANCEL_ATTEMPT ->
                    new CancelAttempt(in.readQueryId(), in.readCount(StoredLimits.MAX_COUNT));
            case CHECK_HEALTH -> new CheckHealth(in.readText());
            case SET_TIMER -> new SetTimer(in.readSigned(), in.readTime());
            case WATCH_ENDPOINTS -> new WatchEndpoints();
            case LOG -> new Log(in.readText());
            default ->
                    throw new IOException(
                            "unknown action tag %d: expected %d to %d"
                                    .formatted(tag, START_ATTEMPT, LOG));
        };
    }
}
