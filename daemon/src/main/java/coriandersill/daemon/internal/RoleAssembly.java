package coriandersill.daemon.internal;

import coriandersill.core.ManagedService;
import io.vertx.core.json.JsonObject;

/** The parts of one role, put together. */
interface RoleAssembly extends ManagedService {

    /** Why the role is not ready, or null when it is. */
    String notReadyReason();

    /** What an operator sees of the role. */
    JsonObject status();
}
