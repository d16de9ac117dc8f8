/** Interfaces of the platform's services: the append-only log, the list of instances and the weight store. */
package coriandersill.sharedlog;
