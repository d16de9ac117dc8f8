/** HTTP exchanges with a timeout and a maximum body size; not for use by callers. */
package coriandersill.sharedlog.http.internal;
