package ashlink.wire;

/** Kinds of packet that a server sends. */
public enum ServerPacket {
    /** Answers a client's Hello. */
    HELLO,
    /** A block of the result, or the header that an insert is to follow. */
    DATA,
    /** The statement, or the login, has failed; ends it. */
    EXCEPTION,
    /** Rows and bytes done since the last. */
    PROGRESS,
    /** Answers a Ping. */
    PONG,
    /** The statement has ended well. */
    END_OF_STREAM,
    /** Figures of the result. */
    PROFILE_INFO,
    /** A block of totals. */
    TOTALS,
    /** A block of least and greatest values. */
    EXTREMES,
    /** Only between servers. */
    TABLES_STATUS,
    /** A block of the server's log. */
    LOG,
    /** Columns of the table that an insert is for. */
    TABLE_COLUMNS,
    /** Only between servers. */
    PART_UUIDS,
    /** Only between servers. */
    READ_TASK_REQUEST,
    /** A block of counters and gauges. */
    PROFILE_EVENTS;

    /**
     * The kind of that number; kinds that only servers exchange, and anything else, are malformed.
     */
    public static ServerPacket of(long number) throws WireException {
        if (number >= 0 && number < values().length) {
            ServerPacket serverPacket = values()[(int) number];
            if (serverPacket != TABLES_STATUS
                    && serverPacket != PART_UUIDS
                    && serverPacket != READ_TASK_REQUEST) {
                return serverPacket;
            }
        }
        throw new WireException(
                WireException.Reason.MALFORMED,
                "a server's packet of kind " + number + " is unknown");
    }

    /** True for kinds that carry a block. */
    public boolean hasBlock() {
        return this == DATA
                || this == TOTALS
                || this == EXTREMES
                || this == LOG
                || this == PROFILE_EVENTS;
    }

    /** True for kinds whose block is compressed if the statement requests compression. */
    public boolean isCompressible() {
        return this == DATA || this == TOTALS || this == EXTREMES;
    }
}
