/** Stand-ins for the platform's log, instance list and weight store, with faults on demand. */
package coriandersill.standins.platform;
