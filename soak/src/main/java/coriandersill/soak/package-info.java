/**
 * A randomized soak test: runs entries as separate processes, injects faults from outside, and checks the records of
 * callers and upstreams against the guarantees of the system.
 */
package coriandersill.soak;
