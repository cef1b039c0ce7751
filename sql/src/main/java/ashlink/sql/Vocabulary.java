package ashlink.sql;

import java.util.Set;

/**
 * Sets of keywords and function names that the readers know, following the public documentation.
 */
final class Vocabulary {

    /**
     * Keywords that may follow an expression in a query, and so end an expression after a complete
     * operand.
     */
    static final Set<String> EXPRESSION_TERMINATORS =
            Set.of(
                    "FROM",
                    "PREWHERE",
                    "WHERE",
                    "GROUP",
                    "HAVING",
                    "WINDOW",
                    "QUALIFY",
                    "ORDER",
                    "LIMIT",
                    "OFFSET",
                    "FETCH",
                    "SETTINGS",
                    "FORMAT",
                    "UNION",
                    "EXCEPT",
                    "INTERSECT",
                    "INTO",
                    "ARRAY",
                    "JOIN",
                    "INNER",
                    "LEFT",
                    "RIGHT",
                    "FULL",
                    "CROSS",
                    "ANY",
                    "ALL",
                    "ASOF",
                    "SEMI",
                    "ANTI",
                    "GLOBAL",
                    "PASTE",
                    "ON",
                    "USING",
                    "SAMPLE",
                    "FINAL",
                    "WITH",
                    "THEN",
                    "ELSE",
                    "END",
                    "WHEN",
                    "BY",
                    "SELECT",
                    "AS",
                    "ASC",
                    "DESC",
                    "NULLS",
                    "BETWEEN",
                    "AND",
                    "OR",
                    "IN",
                    "LIKE",
                    "ILIKE",
                    "IS",
                    "NOT",
                    "DIV",
                    "MOD",
                    "REGEXP",
                    "COLLATE",
                    "ROWS",
                    "RANGE",
                    "TO",
                    "STEP",
                    "STALENESS",
                    "INTERPOLATE",
                    "FILL",
                    "TTL",
                    "PARALLEL",
                    "APPLY",
                    "REPLACE",
                    "VALUES",
                    "OUTER",
                    "XOR",
                    "OVER",
                    "FILTER",
                    "IGNORE",
                    "RESPECT",
                    "DISTINCT",
                    "PARTITION",
                    "TIES",
                    "TOTALS",
                    "CUBE",
                    "ROLLUP",
                    "CASE",
                    "SET",
                    "FOR");

    /** Keywords that may precede JOIN. */
    static final Set<String> JOIN_MODIFIERS =
            Set.of(
                    "GLOBAL", "LOCAL", "ANY", "ALL", "ASOF", "SEMI", "ANTI", "INNER", "LEFT",
                    "RIGHT", "FULL", "OUTER", "CROSS", "PASTE");

    /** Literals that are keywords. */
    static final Set<String> LITERAL_KEYWORDS =
            Set.of("NULL", "TRUE", "FALSE", "INF", "INFINITY", "NAN");

    /** Interval units. */
    static final Set<String> INTERVAL_UNITS =
            Set.of(
                    "NANOSECOND",
                    "MICROSECOND",
                    "MILLISECOND",
                    "SECOND",
                    "MINUTE",
                    "HOUR",
                    "DAY",
                    "WEEK",
                    "MONTH",
                    "QUARTER",
                    "YEAR",
                    "NANOSECONDS",
                    "MICROSECONDS",
                    "MILLISECONDS",
                    "SECONDS",
                    "MINUTES",
                    "HOURS",
                    "DAYS",
                    "WEEKS",
                    "MONTHS",
                    "QUARTERS",
                    "YEARS");

    /** Table functions that generate rows or read tables of the local server. */
    static final Set<String> LOCAL_TABLE_FUNCTIONS =
            Set.of(
                    "numbers",
                    "numbers_mt",
                    "zeros",
                    "zeros_mt",
                    "generaterandom",
                    "values",
                    "null",
                    "generate_series",
                    "generateseries",
                    "dictionary",
                    "fuzzjson",
                    "loop",
                    "view",
                    "viewifpermitted");

    /**
     * Table functions that access other servers or files, where the effect of a read is unknown.
     */
    static final Set<String> EXTERNAL_TABLE_FUNCTIONS =
            Set.of(
                    "remote",
                    "remotesecure",
                    "cluster",
                    "clusterallreplicas",
                    "url",
                    "urlcluster",
                    "s3",
                    "s3cluster",
                    "gcs",
                    "hdfs",
                    "hdfscluster",
                    "file",
                    "filecluster",
                    "mysql",
                    "postgresql",
                    "mongodb",
                    "sqlite",
                    "redis",
                    "odbc",
                    "jdbc",
                    "executable",
                    "azureblobstorage",
                    "azureblobstoragecluster",
                    "deltalake",
                    "iceberg",
                    "hudi",
                    "input");

    /** Table functions that select tables by a pattern. */
    static final Set<String> PATTERN_TABLE_FUNCTIONS =
            Set.of("merge", "mergetreeindex", "mergetreeprojection");

    /** Functions whose result may differ at each call or between servers. */
    static final Set<String> NONDETERMINISTIC_FUNCTIONS =
            Set.of(
                    "now",
                    "now64",
                    "nowinblock",
                    "today",
                    "yesterday",
                    "current_timestamp",
                    "current_date",
                    "curdate",
                    "rand",
                    "rand32",
                    "rand64",
                    "randconstant",
                    "randuniform",
                    "randnormal",
                    "randlognormal",
                    "randbinomial",
                    "randnegativebinomial",
                    "randpoisson",
                    "randbernoulli",
                    "randexponential",
                    "randchisquared",
                    "randstudentt",
                    "randfisherf",
                    "randcanonical",
                    "randomstring",
                    "randomfixedstring",
                    "randomprintableascii",
                    "randomstringutf8",
                    "fuzzbits",
                    "generateuuidv4",
                    "generateuuidv7",
                    "generateulid",
                    "generatesnowflakeid",
                    "rownumberinblock",
                    "rownumberinallblocks",
                    "blocknumber",
                    "hostname",
                    "fqdn",
                    "uptime",
                    "version",
                    "currentuser",
                    "currentdatabase",
                    "connectionid",
                    "queryid",
                    "query_id",
                    "initialqueryid",
                    "initial_query_id",
                    "serveruuid",
                    "getsetting",
                    "tcpport",
                    "sleep",
                    "sleepeachrow",
                    "runningaccumulate",
                    "runningdifference",
                    "neighbor",
                    "utc_timestamp",
                    "utctimestamp",
                    "filesystemavailable",
                    "generateserialid",
                    "displayname",
                    "user",
                    "database");

    private Vocabulary() {}
}
