/** Implementation of the sidecar; not part of the public API. */
package coriandersill.sidecar.internal;
