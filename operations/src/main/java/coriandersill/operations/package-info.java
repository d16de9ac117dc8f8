/** HTTP endpoints for the health, readiness and metrics of a daemon, and handlers for process signals. */
package coriandersill.operations;
