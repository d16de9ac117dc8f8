/** Health, readiness and metrics of a daemon over HTTP. */
package coriandersill.operations;
