package ashlink.sql;

import org.antlr.v4.runtime.CharStream;
import org.antlr.v4.runtime.IntStream;
import org.antlr.v4.runtime.misc.Interval;

/**
 * Provides the characters of a text to the lexer without copying the text, because most of a large
 * insert is never scanned.
 */
final class TextChars implements CharStream {

    private final String text;
    private final int end;
    private int pos;

    TextChars(String text) {
        this.text = text;
        this.end = text.length();
    }

    @Override
    public void consume() {
        pos++;
    }

    @Override
    public int LA(int offset) {
        int at = offset > 0 ? pos + offset - 1 : pos + offset;
        return at < 0 || at >= end ? IntStream.EOF : text.charAt(at);
    }

    @Override
    public int mark() {
        return -1;
    }

    @Override
    public void release(int marker) {}

    @Override
    public int index() {
        return pos;
    }

    @Override
    public void seek(int index) {
        pos = Math.min(index, end);
    }

    @Override
    public int size() {
        return end;
    }

    @Override
    public String getSourceName() {
        return "statement";
    }

    @Override
    public String getText(Interval interval) {
        return interval.a >= end ? "" : text.substring(interval.a, Math.min(end, interval.b + 1));
    }
}
