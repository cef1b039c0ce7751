package ashlink.emulator;

import ashlink.emulator.FaultInjection.Break;
import ashlink.wire.BlockReader;
import ashlink.wire.ByteBuf;
import ashlink.wire.ClientPacket;
import ashlink.wire.StreamSource;
import ashlink.wire.WireLimits;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Arrays;

/** Reads and writes the packets of a client connection. */
final class PacketChannel {

    static final int BUFFER_BYTES = 64 << 10;
    static final WireLimits LIMITS = WireLimits.DEFAULT;

    private final SocketChannel channel;
    private final StreamSource in;
    private final BlockReader blocks;
    private final OutputStream out;

    PacketChannel(SocketChannel channel) throws IOException {
        this.channel = channel;
        in = new StreamSource(channel.socket().getInputStream(), BUFFER_BYTES);
        blocks = new BlockReader(in, LIMITS);
        out = channel.socket().getOutputStream();
    }

    StreamSource in() {
        return in;
    }

    OutputStream out() {
        return out;
    }

    boolean isOpen() {
        return channel.isOpen();
    }

    void send(ByteBuf bytes) throws IOException {
        bytes.writeTo(out);
    }

    /**
     * Sends what a fault other than silence leaves of a packet.
     *
     * @param packet the packet that is due; null if there is none
     */
    void sendDamaged(Break kind, ByteBuf packet) throws IOException {
        switch (kind) {
            case GARBAGE ->
                    out.write(new byte[] {99, 98, 97, 96, (byte) 255, (byte) 255, (byte) 255});
            case HALF_PACKET -> {
                if (packet != null) {
                    out.write(packet.array(), 0, packet.size() / 2);
                }
            }
            case CORRUPT_FRAME -> {
                if (packet != null) {
                    byte[] bytes = Arrays.copyOf(packet.array(), packet.size());
                    bytes[bytes.length - 1] ^= 1;
                    out.write(bytes);
                }
            }
            default -> {}
        }
    }

    /** Reads the rest of a Data packet. */
    BlockReader.Size readData(boolean compressed) throws IOException {
        in.readString("table", LIMITS.nameBytes());
        return blocks.skip(compressed);
    }

    BlockReader.Size readNextData(boolean compressed) throws IOException {
        if (in.readByte() != ClientPacket.DATA.ordinal()) {
            throw new IOException("unexpected packet instead of a Data packet");
        }
        return readData(compressed);
    }

    /** Returns true if the client closed the connection or sent a Cancel. */
    boolean clientIsGone() {
        try {
            if (in.hasBuffered()) {
                return in.readByte() == ClientPacket.CANCEL.ordinal();
            }
            channel.configureBlocking(false);
            int count = channel.read(ByteBuffer.allocate(1));
            channel.configureBlocking(true);
            return count != 0; // end of stream, or a byte that can only be a Cancel
        } catch (IOException e) {
            return true;
        }
    }
}
