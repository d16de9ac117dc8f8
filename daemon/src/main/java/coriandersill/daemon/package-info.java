/** The daemon: settings, wiring of the roles, start and stop. */
package coriandersill.daemon;
