package coriandersill.entry.internal;

import coriandersill.core.InstanceId;
import coriandersill.core.VersionName;
import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import java.util.Optional;

/**
 * The sidecar selected for an attempt.
 *
 * @param instance the sidecar
 * @param version the version that its upstream serves
 * @param connection the open connection to it
 * @param stamp the latest stamp that it has issued, if any
 */
record SelectedSidecar(
        InstanceId instance, VersionName version, WireConnection connection, Optional<Message.Stamp> stamp) {}
