/** Leases and fencing tokens, appended to and followed on the platform's log. */
package coriandersill.leases.log;
