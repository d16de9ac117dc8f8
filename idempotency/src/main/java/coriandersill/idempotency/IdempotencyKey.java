package coriandersill.idempotency;

import java.time.Instant;
import java.util.UUID;
import java.util.random.RandomGenerator;

/**
 * The key that identifies repetitions of a call: a UUID of version 7 (RFC 9562), which contains its creation time.
 *
 * <pre>{@code
 * IdempotencyKey key = IdempotencyKey.parse("019ae8a3-5f40-7c1e-8b1d-2f6a1c9e4d55");
 * Instant created = key.time();
 * }</pre>
 *
 * @param high the upper 64 bits, of which the first 48 are the creation time in milliseconds since 1970
 * @param low the lower 64 bits
 */
public record IdempotencyKey(long high, long low) {
    private static final int VERSION = 7;

    /** Throws {@link IllegalArgumentException} unless the UUID has version 7 and the RFC variant. */
    public IdempotencyKey {
        UUID uuid = new UUID(high, low);
        if (uuid.version() != VERSION || uuid.variant() != 2) {
            throw new IllegalArgumentException("idempotency key: expected a UUID of version 7, found \"" + uuid + "\"");
        }
    }

    /** Parses the text form of a UUID; throws {@link IllegalArgumentException} unless it is one of version 7. */
    public static IdempotencyKey parse(String text) {
        if (text == null || text.length() != 36) {
            throw new IllegalArgumentException("idempotency key: expected a UUID of version 7, found \"" + text + "\"");
        }
        UUID uuid = UUID.fromString(text);
        return new IdempotencyKey(uuid.getMostSignificantBits(), uuid.getLeastSignificantBits());
    }

    /** Generates a key with the creation time {@code now}. */
    public static IdempotencyKey generate(Instant now, RandomGenerator random) {
        long high = (now.toEpochMilli() << 16) | ((long) VERSION << 12) | (random.nextLong() & 0xfff);
        long low = (random.nextLong() >>> 2) | Long.MIN_VALUE;
        return new IdempotencyKey(high, low);
    }

    /** The time at which the key was created, by the clock of its creator. */
    public Instant time() {
        return Instant.ofEpochMilli(millis());
    }

    long millis() {
        return high >>> 16;
    }

    @Override
    public String toString() {
        return new UUID(high, low).toString();
    }
}
