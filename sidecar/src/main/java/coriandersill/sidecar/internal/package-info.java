/** The parts of the sidecar; not for use by callers. */
package coriandersill.sidecar.internal;
