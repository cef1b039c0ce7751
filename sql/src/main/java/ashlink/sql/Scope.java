package ashlink.sql;

import java.util.HashSet;
import java.util.Set;

/** Names of queries given by WITH, as visible from one query; inner ones hide outer ones. */
final class Scope {

    private final Scope outer;
    private final Set<String> names = new HashSet<>();

    Scope(Scope outer) {
        this.outer = outer;
    }

    void add(String name) {
        names.add(name);
    }

    boolean has(String name) {
        for (Scope scope = this; scope != null; scope = scope.outer) {
            if (scope.names.contains(name)) {
                return true;
            }
        }
        return false;
    }
}
