/** Decides who holds a lease and which orders a fencing token allows. */
package coriandersill.leases;
