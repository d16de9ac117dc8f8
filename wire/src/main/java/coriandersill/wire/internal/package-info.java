/** The Netty pipeline and the protobuf codec; not for use by callers. */
package coriandersill.wire.internal;
