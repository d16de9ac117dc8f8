/** HTTP clients of the platform's log, instance list and weight store. */
package coriandersill.sharedlog.http;
