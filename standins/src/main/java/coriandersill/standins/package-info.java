/** Stand-ins for external systems: the platform's services and the upstreams. */
package coriandersill.standins;
