/** One bounded HTTP exchange with the platform. */
package coriandersill.sharedlog.http.internal;
