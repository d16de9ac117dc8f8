package coriandersill.quota;

import coriandersill.core.InstanceId;
import coriandersill.core.WorkspaceName;

/**
 * An entry's request for a slice of a workspace's cap.
 *
 * @param entry the entry that asks
 * @param workspace the workspace
 * @param requested what it expects to need within the next term, beyond its floor
 * @param running calls that run at the entry beyond its floor; they stay counted until they end
 */
public record QuotaDemand(InstanceId entry, WorkspaceName workspace, QuotaAmount requested, int running) {}
