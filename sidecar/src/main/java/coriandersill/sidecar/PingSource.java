package coriandersill.sidecar;

import coriandersill.wire.Message;
import java.util.Optional;

/** Supplies what a sidecar's pings contain in addition to its load. */
public interface PingSource {

    /** Returns the latest configuration position of this process; -1 without a configuration. */
    long configurationPosition();

    /** Returns a new stamp, or an empty optional if the sidecar serves no non-idempotent calls. */
    Optional<Message.Stamp> stamp();
}
