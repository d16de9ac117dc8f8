/** The Netty pipeline and the protobuf codec; not part of the public API. */
package coriandersill.wire.internal;
