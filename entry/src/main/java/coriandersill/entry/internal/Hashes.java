package coriandersill.entry.internal;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Hashes that are the same on every entry. */
final class Hashes {
    private Hashes() {}

    /** Returns the first 64 bits of the SHA-256 of {@code bytes}. */
    static long of(byte[] bytes) {
        try {
            return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(bytes))
                    .getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
