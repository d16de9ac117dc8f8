package coriandersill.daemon.internal;

import coriandersill.core.ManagedService;
import io.vertx.core.json.JsonObject;

/** The assembled components of one role. */
interface RoleAssembly extends ManagedService {

    /** Returns why the role is not ready, or null if it is ready. */
    String notReadyReason();

    /** Returns the status for operators. */
    JsonObject status();
}
