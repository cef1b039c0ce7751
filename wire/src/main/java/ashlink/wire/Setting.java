package ashlink.wire;

/** A setting of a query, as text; {@code flags} are passed on unchanged. */
public record Setting(String name, long flags, String value) {}
