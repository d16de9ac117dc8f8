/** The bounded worker pool that runs decisions, so that event loops only move bytes. */
package coriandersill.workers;
