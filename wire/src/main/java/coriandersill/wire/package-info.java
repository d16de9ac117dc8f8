/**
 * The protocol between entries and sidecars, and among entries: typed messages over Netty connections.
 *
 * <p>{@link coriandersill.wire.WireServer} accepts connections, {@link coriandersill.wire.WireClient} keeps one open,
 * and both deliver {@link coriandersill.wire.Message}s to a {@link coriandersill.wire.WireListener}.
 */
package coriandersill.wire;
