/** Parts of the relay. */
package coriandersill.relay.internal;
