package coriandersill.configuration;

import coriandersill.core.ServiceName;
import coriandersill.core.WorkspaceName;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * A workspace: a tenant with its own keys, share and caps.
 *
 * @param name the workspace
 * @param keys the salted hashes of its API keys
 * @param services the services that it may use
 * @param weight its weight among the workspaces that compete for an upstream, above 0
 * @param maxConcurrency the most requests it may have running over all entries, 1 or more
 * @param tokensPerSecond the most tokens a second over all entries, 1 or more
 */
public record WorkspaceDocument(
        WorkspaceName name,
        List<ApiKeyHash> keys,
        Set<ServiceName> services,
        double weight,
        int maxConcurrency,
        long tokensPerSecond)
        implements Document {

    /** Copies the collections and checks the ranges. */
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
