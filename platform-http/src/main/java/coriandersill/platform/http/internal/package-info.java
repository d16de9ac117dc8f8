/** One bounded HTTP exchange with the platform. */
package coriandersill.platform.http.internal;
