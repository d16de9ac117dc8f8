package coriandersill.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;

/**
 * The salted hash of one API key: SHA-256 over the salt's text and the key's text.
 *
 * @param id the public part of the key, before its first dot, by which the hash is found
 * @param salt the salt's text
 * @param sha256 the hash in hexadecimal digits
 */
public record ApiKeyHash(String id, String salt, String sha256) {

    /** Refuses null. */
    public ApiKeyHash {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(salt, "salt");
        Objects.requireNonNull(sha256, "sha256");
    }

    /** Returns the hash of {@code key}, which reads {@code id.secret}. */
    public static ApiKeyHash of(String key, String salt) {
        return new ApiKeyHash(idOf(key), salt, HexFormat.of().formatHex(digest(salt, key)));
    }

    /** Returns the public part of a key. */
    public static String idOf(String key) {
        int dot = key.indexOf('.');
        return dot < 0 ? key : key.substring(0, dot);
    }

    /** Whether {@code key} has this hash, compared in constant time. */
    public boolean matches(String key) {
        byte[] found = HexFormat.of().formatHex(digest(salt, key)).getBytes(StandardCharsets.US_ASCII);
        return MessageDigest.isEqual(found, sha256.getBytes(StandardCharsets.US_ASCII));
    }

    private static byte[] digest(String salt, String key) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(salt.getBytes(StandardCharsets.UTF_8));
            return digest.digest(key.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
