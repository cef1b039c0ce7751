package ashlink.control.member;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;

/**
 * Operations that a fleet member performs on its router. Called by any thread, one call at a time.
 */
public interface RouterControl {

    /** Sets the engines that receive no new work, even if they are in the endpoint list. */
    void setDrainedEngines(Set<String> engines);

    /** Sets whether the router rejects new requests. */
    void setRejecting(boolean rejecting);

    /** Starts a graceful shutdown and returns without waiting for its completion. */
    void stop();

    /** Adds the fields of the router itself to a status response. */
    void addStatus(ObjectNode status);
}
