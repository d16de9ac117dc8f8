package coriandersill.core;

import java.util.random.RandomGenerator;

/**
 * The identity of one call through the system, drawn by the entry that took it.
 *
 * @param high the upper 64 bits
 * @param low the lower 64 bits
 */
public record CallId(long high, long low) {

    /** Draws a new identity from {@code random}. */
    public static CallId random(RandomGenerator random) {
        return new CallId(random.nextLong(), random.nextLong());
    }

    /** Parses what {@link #toString()} prints; throws {@link IllegalArgumentException} for any other text. */
    public static CallId parse(String text) {
        if (text.length() != 32) {
            throw new IllegalArgumentException("generation id: expected 32 hexadecimal digits, found \"" + text + "\"");
        }
        return new CallId(Long.parseUnsignedLong(text, 0, 16, 16), Long.parseUnsignedLong(text, 16, 32, 16));
    }

    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
