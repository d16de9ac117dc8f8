package coriandersill.idempotency;

import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * A digest of a request, which reveals that a key is reused for a different request.
 *
 * @param value the first 64 bits of a SHA-256 digest; a workspace that constructs a collision affects only its own keys
 */
public record Fingerprint(long value) {

    /** Returns the fingerprint of the service, route, method, path with query, and body of a request. */
    public static Fingerprint of(ServiceName service, RouteName route, String method, String path, byte[] body) {
        MessageDigest digest = sha256();
        for (String part : new String[] {service.value(), route.value(), method, path}) {
            byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
            digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, bytes.length));
            digest.update(bytes);
        }
        return new Fingerprint(ByteBuffer.wrap(digest.digest(body)).getLong());
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform must support it", e);
        }
    }
}
