/** Ports on loopback for the processes of tests and soaks. */
package coriandersill.ports;
