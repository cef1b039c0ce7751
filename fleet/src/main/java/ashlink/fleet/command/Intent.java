package ashlink.fleet.command;

/** What an operator wants of a subject; the later of these is the stronger. */
public enum Intent {
    /** Nothing any more: what was wanted before is withdrawn. */
    NONE,
    /** It gets no fresh work. */
    DRAIN,
    /** It ends, once its work is done. */
    STOP
}
