package ashlink.cli;

import ashlink.config.RouterConfig;
import ashlink.control.member.FleetMember;
import ashlink.control.member.RouterControl;
import ashlink.control.tls.Identity;
import ashlink.fleet.membership.SwimConfig;
import ashlink.router.Router;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.security.GeneralSecurityException;
import java.util.Set;

/** Gives a fleet member control over the router of its process. */
final class FleetRouter implements RouterControl {

    private final Router router;
    private final Runnable stopRequest;
    private final long startedMs = System.currentTimeMillis();

    private FleetRouter(Router router, Runnable stopRequest) {
        this.router = router;
        this.stopRequest = stopRequest;
    }

    /**
     * Creates the fleet member of a router that is not started yet, and applies the stored operator
     * commands. Returns null if the settings have no control channel.
     */
    static FleetMember createMember(RouterConfig config, Router router, Runnable stopRequest)
            throws IOException, GeneralSecurityException {
        if (config.control().listen() == null) {
            return null;
        }
        FleetMember.Spec spec =
                new FleetMember.Spec(
                        config.name(),
                        config.control().listen(),
                        config.stateDir().resolve("notices"),
                        config.control().peers(),
                        SwimConfig.DEFAULT,
                        config.seed() ^ System.nanoTime());
        return new FleetMember(
                spec,
                new Identity(config.control().keys(), config.name()),
                new FleetRouter(router, stopRequest));
    }

    @Override
    public void setDrainedEngines(Set<String> engines) {
        router.setDrainedEngines(engines);
    }

    @Override
    public void setRejecting(boolean rejecting) {
        router.rejectNewRequests(rejecting);
    }

    @Override
    public void stop() {
        stopRequest.run();
    }

    @Override
    public void addStatus(ObjectNode status) {
        status.put("address", String.valueOf(router.address()))
                .put("openRequests", router.core().openRequests())
                .put("queued", router.core().queuedEvents())
                .put("upMs", System.currentTimeMillis() - startedMs);
        if (router.httpAddress() != null) {
            status.put("http", String.valueOf(router.httpAddress()));
        }
    }
}
