package ashlink.control.channel;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;

/**
 * Encodes and decodes the frames of the control channel: a length of four bytes in big-endian
 * order, then a JSON object. A frame that is too long or malformed closes the connection.
 */
final class Frames {

    static final int MAX_FRAME_BYTES = 256 << 10;
    static final ObjectMapper JSON =
            JsonMapper.builder(
                            JsonFactory.builder()
                                    .streamReadConstraints(
                                            StreamReadConstraints.builder()
                                                    .maxNestingDepth(16)
                                                    .build())
                                    .build())
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private Frames() {}

    /**
     * Reads the next frame; returns null if the peer closed the connection between two frames.
     *
     * @throws IOException if the frame is too long, malformed or incomplete
     */
    static JsonNode read(DataInputStream in) throws IOException {
        int first = in.read();
        if (first < 0) {
            return null;
        }
        int length =
                first << 24
                        | in.readUnsignedByte() << 16
                        | in.readUnsignedByte() << 8
                        | in.readUnsignedByte();
        if (length <= 0 || length > MAX_FRAME_BYTES) {
            throw new IOException(
                    "invalid frame length " + length + ": expected 1 to " + MAX_FRAME_BYTES);
        }
        byte[] bytes = new byte[length];
        in.readFully(bytes);
        try {
            JsonNode node = JSON.readTree(bytes);
            if (node != null && node.isObject()) {
                return node;
            }
        } catch (JsonProcessingException e) {
            throw new IOException("invalid JSON in frame: " + e.getOriginalMessage());
        }
        throw new IOException("invalid frame content: expected a JSON object");
    }

    static void write(DataOutputStream out, JsonNode node) throws IOException {
        byte[] bytes = JSON.writeValueAsBytes(node);
        if (bytes.length > MAX_FRAME_BYTES) {
            throw new IOException(
                    "invalid frame length " + bytes.length + ": at most " + MAX_FRAME_BYTES);
        }
        byte[] frame = new byte[4 + bytes.length];
        frame[0] = (byte) (bytes.length >>> 24);
        frame[1] = (byte) (bytes.length >>> 16);
        frame[2] = (byte) (bytes.length >>> 8);
        frame[3] = (byte) bytes.length;
        System.arraycopy(bytes, 0, frame, 4, bytes.length);
        out.write(frame);
        out.flush();
    }

    static EOFException connectionClosed() {
        return new EOFException("connection closed by the peer before its response");
    }
}
