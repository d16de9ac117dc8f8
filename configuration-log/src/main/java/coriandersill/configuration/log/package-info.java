/** Follows the configuration stream of the platform's log, publishes its snapshots and applies change sets. */
package coriandersill.configuration.log;
