package ashlink.wire;

import java.io.IOException;

/** Exception packet; {@code nested} is the cause or null. */
public record ServerError(int code, String name, String message, String stack, ServerError nested) {

    private static final int MAX_NESTING = 16;

    /** Creates an error without a stack trace and without a cause. */
    public ServerError(int code, String name, String message) {
        this(code, name, message, "", null);
    }

    /** Reads the content after the packet type. */
    public static ServerError read(ByteSource in, WireLimits limits) throws IOException {
        return read(in, limits, 0);
    }

    private static ServerError read(ByteSource in, WireLimits limits, int depth)
            throws IOException {
        int code = in.readInt();
        String name = in.readString("exception name", limits.nameBytes());
        String message = in.readString("exception message", limits.textBytes());
        String stack = in.readString("exception stack trace", limits.textBytes());
        boolean hasNested = in.readFlag();
        if (hasNested && depth >= MAX_NESTING) {
            throw new WireException(
                    WireException.Reason.TOO_LARGE,
                    "too many nested exceptions: at most " + MAX_NESTING);
        }
        return new ServerError(
                code, name, message, stack, hasNested ? read(in, limits, depth + 1) : null);
    }

    /** Appends the packet type and the content. */
    public void write(ByteBuf to) throws WireException {
        to.putVarUInt(ServerPacket.EXCEPTION.ordinal());
        for (ServerError error = this; error != null; error = error.nested) {
            to.putInt(error.code)
                    .putString(error.name)
                    .putString(error.message)
                    .putString(error.stack)
                    .putFlag(error.nested != null);
        }
    }
}
