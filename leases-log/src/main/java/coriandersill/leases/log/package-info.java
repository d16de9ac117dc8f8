/** Leases with fencing tokens, based on a stream of the platform's log. */
package coriandersill.leases.log;
