package coriandersill.sidecar;

import coriandersill.wire.Message;
import java.util.Optional;

/** Supplies what a sidecar's pings carry besides its load. */
public interface PingSource {

    /** The newest configuration offset of this process. */
    long configurationPosition();

    /** A fresh stamp, if calls that may not be repeated are served. */
    Optional<Message.Stamp> stamp();
}
