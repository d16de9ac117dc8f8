/** Reads the configuration stream of the platform's log, publishes snapshots to it and submits change sets. */
package coriandersill.configuration.log;
