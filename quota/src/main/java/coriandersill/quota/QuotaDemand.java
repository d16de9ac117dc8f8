package coriandersill.quota;

import coriandersill.core.InstanceId;
import coriandersill.core.WorkspaceName;

/**
 * An entry's request for a grant of part of a workspace's cap.
 *
 * @param entry the requesting entry
 * @param workspace the workspace
 * @param requested the amount that the entry expects to need in the next term beyond its floor
 * @param running the number of calls running at the entry beyond its floor; the home counts them until they end
 */
public record QuotaDemand(InstanceId entry, WorkspaceName workspace, QuotaAmount requested, int running) {}
