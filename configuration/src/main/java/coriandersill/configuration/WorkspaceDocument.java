package coriandersill.configuration;

import coriandersill.core.ServiceName;
import coriandersill.core.WorkspaceName;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * A workspace: a tenant with its own API keys, weight and quotas.
 *
 * @param name the name of the workspace
 * @param keys the salted hashes of its API keys
 * @param services the services that it may use
 * @param weight its weight relative to other workspaces competing for an upstream, above 0
 * @param maxConcurrency the maximum number of concurrent requests over all entries, 1 or more
 * @param tokensPerSecond the maximum number of tokens per second over all entries, 1 or more
 */
public record WorkspaceDocument(
        WorkspaceName name,
        List<ApiKeyHash> keys,
        Set<ServiceName> services,
        double weight,
        int maxConcurrency,
        long tokensPerSecond)
        implements Document {

    /** Copies the collections; rejects null and values out of range. */
    public WorkspaceDocument {
        Objects.requireNonNull(name, "name");
        keys = List.copyOf(keys);
        services = Set.copyOf(services);
        if (!(weight > 0) || maxConcurrency < 1 || tokensPerSecond < 1) {
            throw new IllegalArgumentException(
                    "workspace: expected weight > 0, maxConcurrency >= 1 and tokensPerSecond >= 1, found " + weight
                            + ", " + maxConcurrency + " and " + tokensPerSecond);
        }
    }

    @Override
    public DocumentName documentName() {
        return DocumentName.of(DocumentKind.WORKSPACE, name.value());
    }
}
