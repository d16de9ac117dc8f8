package coriandersill.quota;

import coriandersill.core.WorkspaceName;

/**
 * A grant of part of a workspace's cap, valid for one term from the moment at which the demand was sent.
 *
 * @param workspace the workspace
 * @param amount the granted amount
 * @param fencingToken the fencing token of the home that made the grant; an entry rejects a grant with a lower token
 *     than it has seen
 * @param termNanos how long the grant is valid; 0 if the home may not grant yet or its lease has expired, in which case
 *     the entry keeps its current grant
 */
public record QuotaGrant(WorkspaceName workspace, QuotaAmount amount, long fencingToken, long termNanos) {}
