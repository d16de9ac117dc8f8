package coriandersill.idempotency;

import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * A digest of what a call asks for, to recognise a key that comes back with another request.
 *
 * @param value the first 64 bits of a SHA-256 digest; a workspace that finds a collision harms only its own key
 */
public record Fingerprint(long value) {

    /** Returns the fingerprint of a request by service, route, method, path with query, and body. */
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
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }
}
