/** The bounded worker pool that runs the decisions, so that event loops only do I/O. */
package coriandersill.workers;
