package coriandersill.entry.internal;

import coriandersill.core.InstanceId;
import coriandersill.core.VersionName;
import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import java.util.Optional;

/**
 * The sidecar that an attempt goes to.
 *
 * @param instance the sidecar
 * @param version the version its upstream serves
 * @param connection the open connection to it
 * @param stamp the newest stamp that it has issued
 */
record Selection(InstanceId instance, VersionName version, WireConnection connection, Optional<Message.Stamp> stamp) {}
