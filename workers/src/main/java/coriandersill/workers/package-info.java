/** The bounded worker pool, for tasks that work on shared tables and would hold up an event loop. */
package coriandersill.workers;
