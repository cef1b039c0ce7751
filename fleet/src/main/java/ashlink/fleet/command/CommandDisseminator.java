package ashlink.fleet.command;

import ashlink.fleet.command.ReplicatedCommandSet.CommandKey;
import ashlink.fleet.command.ReplicatedCommandSet.CommandWithTtl;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Decides to which peers a router sends commands: new ones at once to all peers, or to a random
 * sample in a large fleet (gossip), and periodically a digest to one random peer (anti-entropy), by
 * which lost ones arrive. Peers count whatever their membership state. Pure state; not thread-safe.
 */
public final class CommandDisseminator {

    /** Most peers that all get a new command at once. */
    private static final int BROADCAST_LIMIT = 32;

    private static final int FANOUT = 6;
    private static final int MAX_COMMANDS_PER_MESSAGE = 200;

    /** A message to send to a peer. */
    public sealed interface Transmission {

        /** The receiver. */
        String peer();

        /** Commands to merge. */
        record SendCommands(String peer, List<CommandWithTtl> commands) implements Transmission {}

        /** A digest of the sender's set; {@code reply} if it answers one, and is not answered. */
        record SendDigest(String peer, Map<CommandKey, Integer> digest, boolean reply)
                implements Transmission {}
    }

    private final ReplicatedCommandSet set;
    private final SplittableRandom random;

    /** A disseminator of a set; the seed determines the random choices. */
    public CommandDisseminator(ReplicatedCommandSet set, long seed) {
        this.set = set;
        this.random = new SplittableRandom(seed);
    }

    /** Sends new commands on, to all peers but the one that they came from; empty if none. */
    public List<Transmission> disseminate(
            List<CommandWithTtl> commands, Collection<String> peers, String from) {
        List<String> receivers = new ArrayList<>(peers);
        receivers.remove(from);
        boolean many = receivers.size() > BROADCAST_LIMIT;
        while (many && receivers.size() > FANOUT) {
            receivers.remove(random.nextInt(receivers.size()));
        }
        return commands.isEmpty()
                ? List.of()
                : receivers.stream()
                        .map(peer -> (Transmission) new Transmission.SendCommands(peer, commands))
                        .toList();
    }

    /** Sends the digest to a random peer. */
    public List<Transmission> startAntiEntropy(Collection<String> peers) {
        if (peers.isEmpty()) {
            return List.of();
        }
        List<String> all = new ArrayList<>(peers);
        return List.of(
                new Transmission.SendDigest(
                        all.get(random.nextInt(all.size())), set.digest(), false));
    }

    /**
     * Answers a peer's digest with the commands that it lacks and, if the sets differ, a digest.
     */
    public List<Transmission> onDigest(
            String peer, Map<CommandKey, Integer> peerDigest, boolean reply, long nowMs) {
        List<Transmission> out = new ArrayList<>();
        List<CommandWithTtl> missing = set.missingFrom(peerDigest, nowMs);
        for (int i = 0; i < missing.size(); i += MAX_COMMANDS_PER_MESSAGE) {
            out.add(
                    new Transmission.SendCommands(
                            peer,
                            List.copyOf(
                                    missing.subList(
                                            i,
                                            Math.min(
                                                    missing.size(),
                                                    i + MAX_COMMANDS_PER_MESSAGE)))));
        }
        if (!reply && !peerDigest.equals(set.digest())) {
            out.add(new Transmission.SendDigest(peer, set.digest(), true));
        }
        return out;
    }
}
