package ashlink.fleet.command;

import ashlink.fleet.command.ReplicatedCommandSet.CommandKey;
import ashlink.fleet.command.ReplicatedCommandSet.CommandWithTtl;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Decides to whom a router carries notices: what is new to it goes to all peers at once, or to a
 * sample where there are many, each of whom does the same; and from time to time it compares all
 * that it knows with one peer, whatever is held of that peer, so that what was lost on the way
 * arrives all the same.
 */
public final class CommandDisseminator {

    /** Peers that are told at once. */
    private static final int BROADCAST_LIMIT = 32;

    private static final int FANOUT = 6;
    private static final int MAX_COMMANDS_PER_MESSAGE = 200;

    /** What is to be sent. */
    public sealed interface Transmission {

        /** To whom. */
        String peer();

        /** These notices. */
        record SendCommands(String peer, List<CommandWithTtl> commands) implements Transmission {}

        /**
         * What is known, for the peer to send what is lacked; {@code reply}: an answer to a
         * comparison, which is not answered.
         */
        record SendDigest(String peer, Map<CommandKey, Integer> digest, boolean reply)
                implements Transmission {}
    }

    private final ReplicatedCommandSet set;
    private final SplittableRandom random;

    /** Carries the notices of that set. */
    public CommandDisseminator(ReplicatedCommandSet set, long seed) {
        this.set = set;
        this.random = new SplittableRandom(seed);
    }

    /** Something is new here; it came from that peer, or empty. */
    public List<Transmission> disseminate(
            List<CommandWithTtl> fresh, Collection<String> peers, String from) {
        List<String> to = new ArrayList<>(peers);
        to.remove(from);
        boolean many = to.size() > BROADCAST_LIMIT;
        while (many && to.size() > FANOUT) {
            to.remove(random.nextInt(to.size()));
        }
        return fresh.isEmpty()
                ? List.of()
                : to.stream()
                        .map(text -> (Transmission) new Transmission.SendCommands(text, fresh))
                        .toList();
    }

    /** It is time to compare with somebody. */
    public List<Transmission> startAntiEntropy(Collection<String> peers) {
        if (peers.isEmpty()) {
            return List.of();
        }
        List<String> all = new ArrayList<>(peers);
        return List.of(
                new Transmission.SendDigest(
                        all.get(random.nextInt(all.size())), set.digest(), false));
    }

    /** A peer told what it knows: it gets what it lacks, and is asked for what it has otherwise. */
    public List<Transmission> onDigest(
            String peer, Map<CommandKey, Integer> theirs, boolean back, long nowMs) {
        List<Transmission> out = new ArrayList<>();
        List<CommandWithTtl> lacked = set.missingFrom(theirs, nowMs);
        for (int i = 0; i < lacked.size(); i += MAX_COMMANDS_PER_MESSAGE) {
            out.add(
                    new Transmission.SendCommands(
                            peer,
                            List.copyOf(
                                    lacked.subList(
                                            i,
                                            Math.min(
                                                    lacked.size(),
                                                    i + MAX_COMMANDS_PER_MESSAGE)))));
        }
        if (!back && !theirs.equals(set.digest())) {
            out.add(new Transmission.SendDigest(peer, set.digest(), true));
        }
        return out;
    }
}
