package coriandersill.entry.internal;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Hash functions that give the same value on every entry. */
final class Hashes {
    private Hashes() {}

    /** Returns the first 64 bits of the SHA-256 of {@code bytes}. */
    static long sha256Prefix(byte[] bytes) {
        try {
            return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(bytes))
                    .getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform must provide it", e);
        }
    }
}
