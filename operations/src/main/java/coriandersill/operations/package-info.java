/** HTTP endpoints for the health, readiness and metrics of a daemon, and handlers of process signals. */
package coriandersill.operations;
