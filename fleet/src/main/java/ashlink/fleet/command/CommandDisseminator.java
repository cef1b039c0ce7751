package ashlink.fleet.command;

import ashlink.fleet.command.ReplicatedCommandSet.CommandKey;
import ashlink.fleet.command.ReplicatedCommandSet.CommandWithTtl;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Selects the peers to which a router sends operators' commands. A new command is sent immediately
 * to all peers, or to a random sample of peers in a large fleet (gossip). A digest of the command
 * set is sent periodically to one random peer (anti-entropy), so that commands lost in transit are
 * delivered later. The membership state of a peer is ignored. Performs no I/O; not thread-safe.
 */
public final class CommandDisseminator {

    /** Maximum number of receivers to all of which a new command is sent immediately. */
    private static final int MAX_BROADCAST_PEERS = 32;

    /** Number of random receivers of a new command in a larger fleet. */
    private static final int FANOUT = 6;

    private static final int MAX_COMMANDS_PER_MESSAGE = 200;

    /** An outgoing message and its receiver. */
    public sealed interface Transmission {

        /** Returns the name of the receiver. */
        String peer();

        /** Sends commands that the receiver merges into its set. */
        record SendCommands(String peer, List<CommandWithTtl> commands) implements Transmission {}

        /**
         * Sends a digest of the sender's command set.
         *
         * @param reply whether the digest responds to the receiver's digest; the receiver does not
         *     respond to a reply with another digest
         */
        record SendDigest(String peer, Map<CommandKey, Integer> digest, boolean reply)
                implements Transmission {}
    }

    private final ReplicatedCommandSet set;
    private final SplittableRandom random;

    /** Creates a disseminator of a command set; the seed determines the random choices. */
    public CommandDisseminator(ReplicatedCommandSet set, long seed) {
        this.set = set;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Forwards new commands to the peers other than the one that sent them.
     *
     * @param sender the peer that sent the commands; empty if an operator submitted them
     */
    public List<Transmission> disseminate(
            List<CommandWithTtl> commands, Collection<String> peers, String sender) {
        List<String> receivers = new ArrayList<>(peers);
        receivers.remove(sender);
        boolean gossips = receivers.size() > MAX_BROADCAST_PEERS;
        while (gossips && receivers.size() > FANOUT) {
            receivers.remove(random.nextInt(receivers.size()));
        }
        return commands.isEmpty()
                ? List.of()
                : receivers.stream()
                        .map(peer -> (Transmission) new Transmission.SendCommands(peer, commands))
                        .toList();
    }

    /** Sends the digest to a random peer; returns an empty list if there are no peers. */
    public List<Transmission> startAntiEntropy(Collection<String> peers) {
        if (peers.isEmpty()) {
            return List.of();
        }
        List<String> candidates = new ArrayList<>(peers);
        return List.of(
                new Transmission.SendDigest(
                        candidates.get(random.nextInt(candidates.size())), set.digest(), false));
    }

    /**
     * Responds to a peer's digest with the commands that the peer lacks and, if the digests differ
     * and the peer's digest is not a reply, with the digest of this set.
     */
    public List<Transmission> onDigest(
            String peer, Map<CommandKey, Integer> peerDigest, boolean reply, long nowMs) {
        List<Transmission> transmissions = new ArrayList<>();
        List<CommandWithTtl> missing = set.missingFrom(peerDigest, nowMs);
        for (int i = 0; i < missing.size(); i += MAX_COMMANDS_PER_MESSAGE) {
            transmissions.add(
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
            transmissions.add(new Transmission.SendDigest(peer, set.digest(), true));
        }
        return transmissions;
    }
}
