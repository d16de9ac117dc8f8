/**
 * A randomized soak: entries as separate processes, faults from outside them, and checks by callers' and upstreams'
 * books.
 */
package coriandersill.soak;
