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
 * Authenticates API keys and finds the workspaces that they belong to.
 *
 * <p>Keeps an index of the configuration's keys by key id and rebuilds it when the configuration changes.
 */
final class Authenticator {
    private static final String BEARER_PREFIX = "Bearer ";

    private final Supplier<Configuration> configuration;
    private volatile Index index = new Index(Configuration.empty(), Map.of());

    Authenticator(Supplier<Configuration> configuration) {
        this.configuration = configuration;
    }

    /**
     * Returns the workspace whose key an {@code Authorization} header carries.
     *
     * @throws CallFailure {@code UNAUTHENTICATED} without a known key
     */
    WorkspaceDocument authenticate(String authorization) {
        if (authorization == null || !authorization.startsWith(BEARER_PREFIX)) {
            throw CallFailure.of(
                    ErrorKind.UNAUTHENTICATED, "Authorization: expected \"Bearer \" and an API key, found none");
        }
        String key = authorization.substring(BEARER_PREFIX.length()).trim();
        Optional<IndexedKey> indexed =
                Optional.ofNullable(currentIndex().keysById().get(ApiKeyHash.idOf(key)));
        return indexed.filter(entry -> entry.hash().matches(key))
                .map(IndexedKey::workspace)
                .orElseThrow(() -> CallFailure.of(
                        ErrorKind.UNAUTHENTICATED, "Authorization: expected a known API key, found another"));
    }

    private Index currentIndex() {
        Configuration latest = configuration.get();
        Index current = index;
        if (current.configuration().position() != latest.position()
                || current.configuration().documents() != latest.documents()) {
            current = Index.of(latest);
            index = current;
        }
        return current;
    }

    private record IndexedKey(ApiKeyHash hash, WorkspaceDocument workspace) {}

    private record Index(Configuration configuration, Map<String, IndexedKey> keysById) {
        static Index of(Configuration configuration) {
            Map<String, IndexedKey> byId = new HashMap<>();
            configuration.documents().values().forEach(document -> {
                if (document instanceof WorkspaceDocument workspace) {
                    workspace.keys().forEach(hash -> byId.put(hash.id(), new IndexedKey(hash, workspace)));
                }
            });
            return new Index(configuration, byId);
        }
    }
}
