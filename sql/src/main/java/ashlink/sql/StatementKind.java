package ashlink.sql;

/** The kind of a statement. */
public enum StatementKind {
    /** Reads without writing. */
    READ,
    /** Changes rows on the server alone: inserts from a query, or changes by condition. */
    WRITE,
    /** An insert whose rows are sent with the statement or after it. */
    LOAD,
    /** Creates, drops or alters tables or other schema objects. */
    DDL,
    /** Changes the settings or the database of the session. */
    SESSION,
    /** Begins or ends a transaction. */
    TRANSACTION,
    /** Manages the server, access rights or background operations. */
    ADMINISTRATION,
    /** Several statements in one text. */
    SEVERAL,
    /** The syntax is not supported. */
    UNKNOWN
}
