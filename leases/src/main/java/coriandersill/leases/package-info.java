/** Leases with fencing tokens, and the check of orders against these tokens. */
package coriandersill.leases;
