/** In-memory stand-ins for the platform's log, instance registry and weight store; the log has faults on demand. */
package coriandersill.standins.platform;
