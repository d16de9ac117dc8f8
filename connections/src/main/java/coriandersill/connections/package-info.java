/** Bounds on the connections of a listening port: their number, memory, time and share of the event loop. */
package coriandersill.connections;
