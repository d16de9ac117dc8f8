/** The daemon process: settings, assembly of the entry and sidecar roles, start and stop. */
package coriandersill.daemon;
