package coriandersill.sidecar;

import coriandersill.wire.Message;
import java.util.Optional;

/** Supplies what a sidecar's pings contain in addition to its load. */
public interface PingSource {

    /** Returns the latest configuration position of this process. */
    long configurationPosition();

    /** Returns a new stamp, if calls that may not be repeated are served. */
    Optional<Message.Stamp> stamp();
}
