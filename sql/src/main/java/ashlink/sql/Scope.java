package ashlink.sql;

import java.util.HashSet;
import java.util.Set;

/**
 * Names of the queries defined by WITH that are visible from one query; includes the outer scopes.
 */
final class Scope {

    private final Scope outer;
    private final Set<String> names = new HashSet<>();

    Scope(Scope outer) {
        this.outer = outer;
    }

    void add(String name) {
        names.add(name);
    }

    boolean contains(String name) {
        for (Scope scope = this; scope != null; scope = scope.outer) {
            if (scope.names.contains(name)) {
                return true;
            }
        }
        return false;
    }
}
