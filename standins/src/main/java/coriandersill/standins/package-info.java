/** Stand-ins for what the system does not own: the platform's services and the upstreams. */
package coriandersill.standins;
