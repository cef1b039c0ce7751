package ashlink.wire;

import ashlink.wire.TypeParser.Term;
import java.io.IOException;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;
import java.time.temporal.ChronoField;
import java.util.Locale;

/** Readers of dates and times, which return strings in ISO 8601 format. */
final class TimeReaders {

    private static final int NANO_DIGITS = 9;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private TimeReaders() {}

    /** Reads a {@code Date}: days since 1970-01-01 in two bytes, unsigned. */
    static Object readDate(ByteSource in) throws IOException {
        return LocalDate.ofEpochDay(in.readUnsignedShort()).toString();
    }

    /** Reads a {@code Date32}: days since 1970-01-01 in four bytes, signed. */
    static Object readDate32(ByteSource in) throws IOException {
        return LocalDate.ofEpochDay(in.readInt()).toString();
    }

    /** Returns the reader of {@code DateTime([zone])}: seconds since 1970-01-01 in four bytes. */
    static ScalarReader seconds(Term term) {
        ZoneId zone = zoneArgument(term, 0);
        return in ->
                DateTimeFormatter.ISO_OFFSET_DATE_TIME.format(
                        Instant.ofEpochSecond(in.readInt() & 0xffffffffL)
                                .atZone(zone)
                                .toOffsetDateTime());
    }

    /** Returns the reader of {@code DateTime64(digits[, zone])}: ticks of 10^-digits seconds. */
    static ScalarReader ticks(Term term) {
        int digits = Math.min(NANO_DIGITS, ScalarReaders.optionalIntArgument(term, 0));
        ZoneId zone = zoneArgument(term, 1);
        DateTimeFormatter format =
                new DateTimeFormatterBuilder()
                        .appendPattern("uuuu-MM-dd'T'HH:mm:ss")
                        .appendFraction(ChronoField.NANO_OF_SECOND, digits, digits, true)
                        .appendOffsetId()
                        .toFormatter(Locale.ROOT);
        long ticksPerSecond = (long) Math.pow(10, digits);
        return in -> {
            long ticks = in.readLong();
            long nanos = Math.floorMod(ticks, ticksPerSecond) * (NANOS_PER_SECOND / ticksPerSecond);
            return format.format(
                    Instant.ofEpochSecond(Math.floorDiv(ticks, ticksPerSecond), nanos)
                            .atZone(zone)
                            .toOffsetDateTime());
        };
    }

    /**
     * Returns the time zone argument, or UTC if the zone is missing or unknown here; the instant is
     * correct in any zone.
     */
    private static ZoneId zoneArgument(Term term, int index) {
        String name = index < term.arguments().size() ? term.arguments().get(index).name() : "";
        try {
            return name.isEmpty() ? ZoneOffset.UTC : ZoneId.of(name);
        } catch (DateTimeException unknownZone) {
            return ZoneOffset.UTC;
        }
    }
}
