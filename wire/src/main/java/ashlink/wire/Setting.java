package ashlink.wire;

/** Setting of a query with its value as a string; {@code flags} are forwarded unchanged. */
public record Setting(String name, long flags, String value) {}
