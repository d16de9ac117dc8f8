package coriandersill.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;

/**
 * The salted hash of one API key: SHA-256 of the salt followed by the key, both in UTF-8.
 *
 * @param id the public part of the key, up to its first dot, used to look up the hash
 * @param salt the salt, as text
 * @param sha256 the hash in lowercase hexadecimal digits
 */
public record ApiKeyHash(String id, String salt, String sha256) {

    /** Rejects null. */
    public ApiKeyHash {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(salt, "salt");
        Objects.requireNonNull(sha256, "sha256");
    }

    /** Returns the hash of {@code key}, which has the form {@code id.secret}. */
    public static ApiKeyHash of(String key, String salt) {
        return new ApiKeyHash(idOf(key), salt, HexFormat.of().formatHex(digest(salt, key)));
    }

    /** Returns the public part of a key: the text before its first dot, or the whole key if it has none. */
    public static String idOf(String key) {
        int dot = key.indexOf('.');
        return dot < 0 ? key : key.substring(0, dot);
    }

    /** Returns whether {@code key} has this hash; compares in constant time. */
    public boolean matches(String key) {
        byte[] actual = HexFormat.of().formatHex(digest(salt, key)).getBytes(StandardCharsets.US_ASCII);
        return MessageDigest.isEqual(actual, sha256.getBytes(StandardCharsets.US_ASCII));
    }

    private static byte[] digest(String salt, String key) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(salt.getBytes(StandardCharsets.UTF_8));
            return digest.digest(key.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
