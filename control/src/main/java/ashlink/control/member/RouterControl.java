package ashlink.control.member;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;

/** What a node does to its router. */
public interface RouterControl {

    /** These engines get no fresh work, whatever the list says. */
    void drained(Set<String> engines);

    /** The router takes no fresh requests, or does again. */
    void refuse(boolean refuses);

    /** The router ends, once its work is done or its time is up; returns at once. */
    void stop();

    /** Adds what there is to tell of the router. */
    void status(ObjectNode to);
}
