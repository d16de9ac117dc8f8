package coriandersill.quota;

import coriandersill.core.WorkspaceName;

/**
 * A slice of a workspace's cap, for one term from the moment at which its request was sent.
 *
 * @param workspace the workspace
 * @param amount the slice
 * @param fencingToken that of the home which granted it; an entry takes no grant of a smaller one than it has seen
 * @param termNanos how long the grant is valid; 0 from a home that may not grant yet or any more, which changes nothing
 */
public record QuotaGrant(WorkspaceName workspace, QuotaAmount amount, long fencingToken, long termNanos) {}
