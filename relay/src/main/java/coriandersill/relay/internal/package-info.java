/** Implementation of the relay. */
package coriandersill.relay.internal;
