package coriandersill.entry.internal;

import coriandersill.configuration.ApiKeyHash;
import coriandersill.configuration.Configuration;
import coriandersill.configuration.WorkspaceDocument;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Finds the workspace that an API key belongs to.
 *
 * <p>Keeps an index by key id for one configuration and builds it anew when the configuration changes.
 */
final class Authenticator {
    private static final String BEARER = "Bearer ";

    private final Supplier<Configuration> configuration;
    private volatile Index index = new Index(Configuration.empty(), Map.of());

    Authenticator(Supplier<Configuration> configuration) {
        this.configuration = configuration;
    }

    /** Returns the workspace of an {@code Authorization} header; throws {@code UNAUTHENTICATED}. */
    WorkspaceDocument authenticate(String authorization) {
        if (authorization == null || !authorization.startsWith(BEARER)) {
            throw CallFailure.of(
                    ErrorKind.UNAUTHENTICATED, "Authorization: expected \"Bearer \" and an API key, found none");
        }
        String key = authorization.substring(BEARER.length()).trim();
        Optional<Entry> found = Optional.ofNullable(current().byId().get(ApiKeyHash.idOf(key)));
        return found.filter(entry -> entry.hash().matches(key))
                .map(Entry::workspace)
                .orElseThrow(() -> CallFailure.of(
                        ErrorKind.UNAUTHENTICATED, "Authorization: expected a known API key, found another"));
    }

    private Index current() {
        Configuration now = configuration.get();
        Index known = index;
        if (known.configuration().position() != now.position()
                || known.configuration().documents() != now.documents()) {
            known = Index.of(now);
            index = known;
        }
        return known;
    }

    private record Entry(ApiKeyHash hash, WorkspaceDocument workspace) {}

    private record Index(Configuration configuration, Map<String, Entry> byId) {
        static Index of(Configuration configuration) {
            Map<String, Entry> byId = new HashMap<>();
            configuration.documents().values().forEach(document -> {
                if (document instanceof WorkspaceDocument workspace) {
                    workspace.keys().forEach(hash -> byId.put(hash.id(), new Entry(hash, workspace)));
                }
            });
            return new Index(configuration, byId);
        }
    }
}
