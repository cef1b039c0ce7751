package ashlink.wire;

/** Types of packet that a server sends; the ordinal is the number on the wire. */
public enum ServerPacket {
    /** Answers the Hello packet of a client. */
    HELLO,
    /** Carries a block of the result, or the empty block with the columns expected of an insert. */
    DATA,
    /** Reports that the statement or the login failed; ends the response. */
    EXCEPTION,
    /** Reports rows and bytes processed since the previous Progress packet. */
    PROGRESS,
    /** Answers a Ping packet. */
    PONG,
    /** Reports that the statement completed successfully. */
    END_OF_STREAM,
    /** Reports statistics of the result. */
    PROFILE_INFO,
    /** Carries a block of totals. */
    TOTALS,
    /** Carries a block of minimum and maximum values. */
    EXTREMES,
    /** Only between servers. */
    TABLES_STATUS,
    /** Carries a block of server log entries. */
    LOG,
    /** Describes the columns of the target table of an insert. */
    TABLE_COLUMNS,
    /** Only between servers. */
    PART_UUIDS,
    /** Only between servers. */
    READ_TASK_REQUEST,
    /** Carries a block of counters and gauges. */
    PROFILE_EVENTS;

    /**
     * Returns the packet type with the given number. Types that only servers exchange and unknown
     * numbers are malformed.
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
                WireException.Reason.MALFORMED, "unknown server packet type " + number);
    }

    /** Returns true for packet types that carry a block. */
    public boolean hasBlock() {
        return this == DATA
                || this == TOTALS
                || this == EXTREMES
                || this == LOG
                || this == PROFILE_EVENTS;
    }

    /**
     * Returns true for packet types whose block is compressed if the query requests compression.
     */
    public boolean isCompressible() {
        return this == DATA || this == TOTALS || this == EXTREMES;
    }
}
